package io.rhubarbward.config;

/**
 * How routers watch each other.
 *
 * @param heartbeatMillis the time between two heartbeats to a peer
 * @param vmListMillis the time between two reads of the platform's VM list
 */
public record MembershipSettings(int heartbeatMillis, int vmListMillis) {
    public MembershipSettings {
        SettingCheck.range("heartbeatMillis", heartbeatMillis, 50, 60_000);
        SettingCheck.range("vmListMillis", vmListMillis, 50, 60_000);
    }
}
