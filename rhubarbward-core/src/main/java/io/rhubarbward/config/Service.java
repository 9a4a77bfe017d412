package io.rhubarbward.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A service that callers reach by path.
 *
 * @param name its name
 * @param kind what its backend servers are
 * @param model the model its engines serve; empty for plain services
 * @param pathPrefix the paths that belong to it; the longest prefix wins
 * @param repeatable whether any of its requests may run more than once
 * @param deduplicates whether its backend servers themselves run each idempotency key once
 * @param concurrency requests that one ready backend server carries at once
 * @param coldConcurrency requests that one backend server in cold start carries at once
 */
public record Service(
        String name,
        Kind kind,
        String model,
        String pathPrefix,
        boolean repeatable,
        boolean deduplicates,
        int concurrency,
        int coldConcurrency) {
    public Service {
        SettingCheck.that(
                "pathPrefix", pathPrefix, pathPrefix.startsWith("/"), "a path that begins with /");
        SettingCheck.range("concurrency", concurrency, 1, 100_000);
        SettingCheck.range("coldConcurrency", coldConcurrency, 1, concurrency);
    }

    /** What the backend servers of a service are. */
    public enum Kind {
        /** Model engines: chats have a home, cold starts are slow, load is reported. */
        @JsonProperty("engine")
        ENGINE,
        /** Plain services: any method, no chats. */
        @JsonProperty("plain")
        PLAIN
    }
}
