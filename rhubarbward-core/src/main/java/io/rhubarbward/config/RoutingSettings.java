package io.rhubarbward.config;

/**
 * How requests are spread over a service's backend servers.
 *
 * @param boundedLoadMultiple the most load that an engine is given, as a multiple of the mean load
 */
public record RoutingSettings(double boundedLoadMultiple) {
    public RoutingSettings {
        SettingCheck.range("boundedLoadMultiple", boundedLoadMultiple, 1.01, 100.0);
    }
}
