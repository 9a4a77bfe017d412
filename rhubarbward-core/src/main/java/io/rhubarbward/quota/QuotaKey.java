package io.rhubarbward.quota;

import java.util.Optional;

/** Identifies a limit that all routers enforce together. */
public sealed interface QuotaKey {
    /** Returns the key's text, which identifies it in messages and is the same at every router. */
    String text();

    /** Parses a key's text; empty if it is not the text of any key. */
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
     * Limit on the requests that a backend server carries at once.
     *
     * @param backendServer the name of the server
     */
    record BackendConcurrency(String backendServer) implements QuotaKey {
        @Override
        public String text() {
            return "backend/" + backendServer;
        }
    }

    /**
     * Limit on the requests that a client account starts per second.
     *
     * @param account the name of the account
     */
    record AccountRate(String account) implements QuotaKey {
        @Override
        public String text() {
            return "account/" + account;
        }
    }

    /**
     * Limit on the requests that a version carries at once during its rollout.
     *
     * @param service the name of the service
     * @param version the name of the version
     */
    record VersionShare(String service, String version) implements QuotaKey {
        @Override
        public String text() {
            return "version/" + service + "/" + version;
        }
    }

    /**
     * Limit on the retries of a service's backend calls per second.
     *
     * @param service the name of the service
     */
    record RetryBudget(String service) implements QuotaKey {
        @Override
        public String text() {
            return "retry/" + service;
        }
    }
}
