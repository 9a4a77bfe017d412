package io.rhubarbward.config;

/**
 * The planned stop of a router.
 *
 * @param noticeMillis from "not ready" until new requests are refused
 * @param finishMillis how long open answers may go on after that
 */
public record DrainSettings(int noticeMillis, int finishMillis) {
    public DrainSettings {
        SettingCheck.range("noticeMillis", noticeMillis, 0, 120_000);
        SettingCheck.range("finishMillis", finishMillis, 0, 3_600_000);
    }
}
