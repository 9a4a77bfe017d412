package io.rhubarbward.config;

/**
 * Limits on queueing and on retries for when all backend servers of a service are full or failing.
 *
 * @param maxWaitMillis how long a request may wait in the admission queue before it is refused
 * @param maxWaiting the most requests that may wait for one service at one router
 * @param retriesPerSecond the retries to backend servers per second that all routers together may
 *     make for one service
 */
public record AdmissionSettings(int maxWaitMillis, int maxWaiting, double retriesPerSecond) {
    /** Refuses without waiting; used until the first configuration is in force. */
    public static final AdmissionSettings NO_WAITING = new AdmissionSettings(0, 0, 1);

    public AdmissionSettings {
        SettingCheck.range("maxWaitMillis", maxWaitMillis, 0, 60_000);
        SettingCheck.range("maxWaiting", maxWaiting, 0, 10_000);
        SettingCheck.range("retriesPerSecond", retriesPerSecond, 0.1, 100_000.0);
    }
}
