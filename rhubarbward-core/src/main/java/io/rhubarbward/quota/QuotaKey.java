package io.rhubarbward.quota;

/** What a shared limit is on. */
public sealed interface QuotaKey {
    /** Returns the key as one line of text, the same at every router. */
    String text();

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
