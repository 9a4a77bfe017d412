package io.rhubarbward.catalog;

import java.time.Duration;

/**
 * The settings of a service in the catalogue.
 *
 * @param name the service's name
 * @param maxConnections connections that each of its backend servers accepts in total
 * @param coldStart how long a backend server stays cold (slow) after its start
 * @param coldRequestsPerSecond requests a second that a cold backend server can take from all
 *     routers; 0 for no limit
 * @param engine whether its backend servers are model engines
 */
public record ServiceProfile(
        String name,
        int maxConnections,
        Duration coldStart,
        double coldRequestsPerSecond,
        boolean engine) {}
