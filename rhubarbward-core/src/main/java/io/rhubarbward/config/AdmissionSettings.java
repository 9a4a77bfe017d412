package io.rhubarbward.config;

/**
 * What happens to requests when all backend servers are full or failing.
 *
 * @param maxWaitMillis how long a request waits for room before it is refused
 * @param maxWaiting requests that wait for one service at one router
 * @param retriesPerSecond backend calls of one service that the whole fleet repeats in a second
 */
public record AdmissionSettings(int maxWaitMillis, int maxWaiting, double retriesPerSecond) {
    /** Refuses at once; in force before the first configuration. */
    public static final AdmissionSettings NO_WAITING = new AdmissionSettings(0, 0, 1);

    public AdmissionSettings {
        SettingCheck.range("maxWaitMillis", maxWaitMillis, 0, 60_000);
        SettingCheck.range("maxWaiting", maxWaiting, 0, 10_000);
        SettingCheck.range("retriesPerSecond", retriesPerSecond, 0.1, 100_000.0);
    }
}
