package io.rhubarbward.daemon;

import io.rhubarbward.config.ConfigFailure;
import io.rhubarbward.config.SettingsReader;
import io.rhubarbward.config.SettingsText;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;

/**
 * The settings that a router process needs before it can reach the platform.
 *
 * <pre>{@code
 * {
 *   "vm": "entry-1", "site": "lima", "dataCentre": "lima-norte",
 *   "platform": "10.0.0.2:7000",
 *   "callers": "0.0.0.0:8080", "operators": "127.0.0.1:8081", "peers": "10.0.1.1:8082"
 * }
 * }</pre>
 *
 * @param vm the name of the VM in the platform's VM list
 * @param site the site whose settings the router follows
 * @param dataCentre the data centre that the VM runs in
 * @param platform host and port of the platform's object API
 * @param callers host and port to listen on for callers and the balancer
 * @param operators host and port to listen on for metrics and state dumps
 * @param peers host and port to listen on for other routers
 * @param seeds host and port of routers to contact while the VM list cannot be read; none by
 *     default
 */
public record RouterProcessSettings(
        String vm,
        String site,
        String dataCentre,
        String platform,
        String callers,
        String operators,
        String peers,
        List<String> seeds) {
    private static final SettingsText DEFAULTS = new SettingsText("defaults", "{\"seeds\": []}");

    public RouterProcessSettings {
        seeds = List.copyOf(seeds);
    }

    /** Describes a process without seeds. */
    public RouterProcessSettings(
            String vm,
            String site,
            String dataCentre,
            String platform,
            String callers,
            String operators,
            String peers) {
        this(vm, site, dataCentre, platform, callers, operators, peers, List.of());
    }

    /** Reads the settings from JSON with comments. */
    public static Either<ConfigFailure, RouterProcessSettings> read(SettingsText text) {
        return SettingsReader.readAs(RouterProcessSettings.class, DEFAULTS, text);
    }

    /** Parses a listening address; port 0 takes a free one. */
    static InetSocketAddress socketAddress(String hostAndPort) {
        URI uri = URI.create("tcp://" + hostAndPort);
        return new InetSocketAddress(uri.getHost(), Math.max(0, uri.getPort()));
    }
}
