package io.rhubarbward.config;

/**
 * How shared limits are leased.
 *
 * @param leaseMillis how long a silent router's units stay its own
 * @param fallbackShare the part of each limit that is kept for routers which reach no custodian; it
 *     is rounded down to whole units
 */
public record QuotaSettings(int leaseMillis, double fallbackShare) {
    // Heartbeats come each second. A shorter lease would lapse between those of a live router, and
    // its units would be granted twice; after a longer silence a router is given up anyway.
    private static final int MIN_LEASE_MILLIS = 2_500;
    private static final int MAX_LEASE_MILLIS = 4_000;

    public QuotaSettings {
        SettingCheck.range("leaseMillis", leaseMillis, MIN_LEASE_MILLIS, MAX_LEASE_MILLIS);
        SettingCheck.range("fallbackShare", fallbackShare, 0, 0.5);
    }
}
