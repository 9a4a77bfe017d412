package io.rhubarbward.config;

/**
 * How a router drains before a planned stop.
 *
 * @param noticeMillis how long a router that reports "not ready" still accepts new requests, so
 *     that the load balancer can notice
 * @param finishMillis how long requests in progress may run after that
 */
public record DrainSettings(int noticeMillis, int finishMillis) {
    public DrainSettings {
        SettingCheck.range("noticeMillis", noticeMillis, 0, 120_000);
        SettingCheck.range("finishMillis", finishMillis, 0, 3_600_000);
    }
}
