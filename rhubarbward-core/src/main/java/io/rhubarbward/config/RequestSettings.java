package io.rhubarbward.config;

/**
 * Limits on one exchange.
 *
 * @param firstByteMillis how long a backend server may take until its answer begins
 * @param silenceMillis how long an answer that has begun may stay silent
 * @param deadlineMillis the whole exchange, from admission to the last byte
 * @param maxAttempts backend servers tried for one request at most
 * @param claimRetentionSeconds how long the outcome of a non-idempotent request is kept
 */
public record RequestSettings(
        int firstByteMillis,
        int silenceMillis,
        int deadlineMillis,
        int maxAttempts,
        int claimRetentionSeconds) {
    public RequestSettings {
        SettingCheck.range("firstByteMillis", firstByteMillis, 10, 600_000);
        SettingCheck.range("silenceMillis", silenceMillis, 10, 600_000);
        SettingCheck.range("deadlineMillis", deadlineMillis, 10, 3_600_000);
        SettingCheck.range("maxAttempts", maxAttempts, 1, 10);
        SettingCheck.range("claimRetentionSeconds", claimRetentionSeconds, 60, 30 * 86_400);
    }
}
