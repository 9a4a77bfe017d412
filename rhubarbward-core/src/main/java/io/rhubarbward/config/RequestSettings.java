package io.rhubarbward.config;

/**
 * Limits on a single request and its answer.
 *
 * @param firstByteMillis how long a backend server may take until its answer begins
 * @param silenceMillis the longest pause within an answer that has begun
 * @param deadlineMillis the longest time from the request's admission to the answer's last byte
 * @param maxAttempts how many attempts at backend servers a request may take
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
