package io.rhubarbward.catalog;

import java.time.Duration;
import java.util.Optional;

/**
 * The settings of a service in the catalogue.
 *
 * @param name the service's name
 * @param maxConnections connections that each of its backend servers accepts in total
 * @param coldStart how long a backend server stays cold (slow) after its start
 * @param coldRequestsPerSecond requests a second that a cold backend server can take from all
 *     routers; 0 for no limit
 * @param engine whether its backend servers are model engines
 * @param engineCapacity what each of its engines can hold; empty if the catalogue does not state it
 */
public record ServiceProfile(
        String name,
        int maxConnections,
        Duration coldStart,
        double coldRequestsPerSecond,
        boolean engine,
        Optional<EngineCapacity> engineCapacity) {
    /** Creates the settings of a service whose engines' capacity is not stated. */
    public ServiceProfile(
            String name,
            int maxConnections,
            Duration coldStart,
            double coldRequestsPerSecond,
            boolean engine) {
        this(name, maxConnections, coldStart, coldRequestsPerSecond, engine, Optional.empty());
    }
}
