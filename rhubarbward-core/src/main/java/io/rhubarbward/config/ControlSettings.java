package io.rhubarbward.config;

/**
 * What a router may spend on control.
 *
 * @param bytesPerSecond control traffic to peers, in bytes a second
 * @param platformWritesPerSecond writes to the platform
 * @param platformReadsPerSecond reads from the platform; a waiting watch counts as one
 */
public record ControlSettings(
        int bytesPerSecond, int platformWritesPerSecond, int platformReadsPerSecond) {
    public ControlSettings {
        SettingCheck.range("bytesPerSecond", bytesPerSecond, 1024, 1 << 30);
        SettingCheck.range("platformWritesPerSecond", platformWritesPerSecond, 1, 1000);
        SettingCheck.range("platformReadsPerSecond", platformReadsPerSecond, 1, 2000);
    }
}
