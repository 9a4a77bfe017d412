package io.rhubarbward.engine;

import java.util.List;

/**
 * Upper bound on a server's load, for bounded-load balancing: a multiple of the mean load.
 *
 * <p>Load and mean are relative to capacity, so that a cold engine's bound is as small as its
 * capacity. The mean may come from late reports, because a sum over all servers changes slowly. The
 * load that is compared with the bound must be exact, because late figures of one server make every
 * router choose the same seemingly idle server. Therefore the bound limits the capacity that the
 * server's quota custodian grants.
 *
 * @param maxUtilization the highest load per unit of capacity; may exceed 1
 */
record LoadBound(double maxUtilization) {
    /**
     * A server may always use this fraction of its capacity. Otherwise the mean of late reports
     * would hold back a sudden rise in load while no server is near its limit.
     */
    private static final double MIN_UTILIZATION_BOUND = 0.25;

    /**
     * Returns the bound for servers that take new work.
     *
     * @param multiple the highest multiple of the mean load that a server may carry
     * @param servers the servers over which the mean is taken
     */
    static LoadBound of(double multiple, List<BackendStatus> servers) {
        double load = servers.stream().mapToInt(BackendStatus::load).sum();
        double capacity = servers.stream().mapToInt(BackendStatus::capacity).sum();
        return new LoadBound(multiple * (load + 1) / Math.max(1, capacity));
    }

    /** Returns how many requests the server may carry at once: its capacity within the bound. */
    int capacity(BackendStatus server) {
        double utilization = Math.max(MIN_UTILIZATION_BOUND, maxUtilization);
        return (int) Math.min(server.capacity(), Math.ceil(utilization * server.capacity()));
    }
}
