package io.rhubarbward.config;

/**
 * How shared limits are leased.
 *
 * @param leaseMillis how long a silent router's units stay its own
 * @param fallbackShare the part of each limit that is kept for routers which reach no custodian; it
 *     is rounded down to whole units
 */
public record QuotaSettings(int leaseMillis, double fallbackShare) {
    public QuotaSettings {
        SettingCheck.range("leaseMillis", leaseMillis, 100, 60_000);
        SettingCheck.range("fallbackShare", fallbackShare, 0, 0.5);
    }
}
