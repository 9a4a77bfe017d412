package io.rhubarbward.catalog;

import java.time.Duration;

/**
 * What operators say of a service.
 *
 * @param name its name
 * @param maxConnections connections that each of its backend servers accepts from all callers
 * @param coldStart how long a backend server stays cold after its start
 * @param coldRequestsPerSecond requests a second that a cold backend server tolerates; 0 if none
 *     turn cold
 * @param engine whether its backend servers are model engines
 */
public record ServiceProfile(
        String name,
        int maxConnections,
        Duration coldStart,
        double coldRequestsPerSecond,
        boolean engine) {}
