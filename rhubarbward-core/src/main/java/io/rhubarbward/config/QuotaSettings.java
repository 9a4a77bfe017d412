package io.rhubarbward.config;

/**
 * How shared limits are leased.
 *
 * @param leaseMillis how long a granted allotment is valid
 */
public record QuotaSettings(int leaseMillis) {
    public QuotaSettings {
        SettingCheck.range("leaseMillis", leaseMillis, 100, 60_000);
    }
}
