package io.rhubarbward.config;

/**
 * Limits on the requests that callers send.
 *
 * @param maxHeadBytes the largest size of the request line and the header together
 * @param maxBodyBytes the largest size of the body
 * @param requestReadMillis how long a caller may take to send its request
 */
public record ListenerSettings(int maxHeadBytes, int maxBodyBytes, int requestReadMillis) {
    public ListenerSettings {
        SettingCheck.range("maxHeadBytes", maxHeadBytes, 1024, 1 << 20);
        SettingCheck.range("maxBodyBytes", maxBodyBytes, 1024, 1 << 28);
        SettingCheck.range("requestReadMillis", requestReadMillis, 100, 600_000);
    }
}
