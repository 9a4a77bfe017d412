package io.rhubarbward.config;

/**
 * How routers lease shares of limits that hold for all routers together.
 *
 * @param leaseMillis how long the units leased to a router stay reserved for it after it falls
 *     silent
 * @param fallbackShare the share of each limit that is reserved for routers that cannot reach the
 *     custodian, which is the router that grants the limit's leases; rounded down to whole units
 */
public record QuotaSettings(int leaseMillis, double fallbackShare) {
    // Heartbeats are sent every second. A shorter lease would expire between two heartbeats of a
    // live router, and its units would be granted twice. A router that is silent for longer than
    // the maximum is considered dead anyway.
    private static final int MIN_LEASE_MILLIS = 2_500;
    private static final int MAX_LEASE_MILLIS = 4_000;

    public QuotaSettings {
        SettingCheck.range("leaseMillis", leaseMillis, MIN_LEASE_MILLIS, MAX_LEASE_MILLIS);
        SettingCheck.range("fallbackShare", fallbackShare, 0, 0.5);
    }
}
