package io.rhubarbward.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A service: requests are routed to it by the longest path prefix.
 *
 * @param name the service's name
 * @param kind the kind of its backend servers
 * @param model the model that its engines serve; empty for a plain service
 * @param pathPrefix the prefix of the paths that belong to it; the longest matching prefix wins
 * @param repeatable whether all its requests are idempotent, so that any may run more than once
 * @param deduplicates whether its backend servers themselves ensure that each idempotency key runs
 *     only once
 * @param concurrency how many requests one ready backend server may process at once
 * @param coldConcurrency how many requests one backend server may process at once when its slow
 *     start begins
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
        SettingCheck.require(
                "pathPrefix", pathPrefix, pathPrefix.startsWith("/"), "a path that begins with /");
        SettingCheck.range("concurrency", concurrency, 1, 100_000);
        SettingCheck.range("coldConcurrency", coldConcurrency, 1, concurrency);
    }

    /** The kind of a service's backend servers. */
    public enum Kind {
        /** Model engines, which report their load; they have chat affinity and a slow start. */
        @JsonProperty("engine")
        ENGINE,
        /** Plain servers: any HTTP method, no chat affinity. */
        @JsonProperty("plain")
        PLAIN
    }
}
