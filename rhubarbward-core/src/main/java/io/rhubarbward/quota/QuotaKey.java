package io.rhubarbward.quota;

import java.util.Optional;

/** What a shared limit is on. */
public sealed interface QuotaKey {
    /** Returns the key as one line of text, the same at every router. */
    String text();

    /** Returns the key that has the text, if there is one. */
    static Optional<QuotaKey> parse(String text) {
        String[] parts = text.split("/", 3);
        if (parts.length < 2) {
            return Optional.empty();
        }
        QuotaKey key =
                switch (parts[0]) {
                    case "backend" -> new BackendConcurrency(after(text, parts[0]));
                    case "account" -> new AccountRate(after(text, parts[0]));
                    case "retry" -> new RetryBudget(after(text, parts[0]));
                    case "version" -> new VersionShare(parts[1], parts.length > 2 ? parts[2] : "");
                    default -> null;
                };
        return Optional.ofNullable(key);
    }

    private static String after(String text, String kind) {
        return text.substring(kind.length() + 1);
    }

    /**
     * Requests that a backend server carries at once.
     *
     * @param backendServer its name
     */
    record BackendConcurrency(String backendServer) implements QuotaKey {
        @Override
        public String text() {
            return "backend/" + backendServer;
        }
    }

    /**
     * Requests that a client account starts in a second.
     *
     * @param account its name
     */
    record AccountRate(String account) implements QuotaKey {
        @Override
        public String text() {
            return "account/" + account;
        }
    }

    /**
     * Requests that a version carries at once during its rollout.
     *
     * @param service the service
     * @param version the version
     */
    record VersionShare(String service, String version) implements QuotaKey {
        @Override
        public String text() {
            return "version/" + service + "/" + version;
        }
    }

    /**
     * Repeated backend calls of a service in a second.
     *
     * @param service the service
     */
    record RetryBudget(String service) implements QuotaKey {
        @Override
        public String text() {
            return "retry/" + service;
        }
    }
}
