package io.rhubarbward.config;

/**
 * Limits on a router's control traffic: to its peers, and to the platform.
 *
 * @param bytesPerSecond the most bytes per second that a router may send to its peers
 * @param platformWritesPerSecond the most writes per second to the platform
 * @param platformReadsPerSecond the most reads per second from the platform; a watch counts as one
 *     read, however long it waits
 */
public record ControlSettings(
        int bytesPerSecond, int platformWritesPerSecond, int platformReadsPerSecond) {
    public ControlSettings {
        SettingCheck.range("bytesPerSecond", bytesPerSecond, 1024, 1 << 30);
        SettingCheck.range("platformWritesPerSecond", platformWritesPerSecond, 1, 1000);
        SettingCheck.range("platformReadsPerSecond", platformReadsPerSecond, 1, 2000);
    }
}
