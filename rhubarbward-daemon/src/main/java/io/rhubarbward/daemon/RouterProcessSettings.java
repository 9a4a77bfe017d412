package io.rhubarbward.daemon;

import io.rhubarbward.config.ConfigFailure;
import io.rhubarbward.config.SettingsReader;
import io.rhubarbward.config.SettingsText;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;

/**
 * What one router process must know before it can ask the platform for anything.
 *
 * <pre>{@code
 * {
 *   "vm": "entry-1", "site": "lima", "dataCentre": "lima-norte",
 *   "platform": "10.0.0.2:7000",
 *   "callers": "0.0.0.0:8080", "operators": "127.0.0.1:8081", "peers": "10.0.1.1:8082"
 * }
 * }</pre>
 *
 * @param vm the name of the VM, as the platform's list has it
 * @param site the site whose settings it follows
 * @param dataCentre where it runs
 * @param platform host and port of the platform's object API
 * @param callers host and port to listen on for callers and the balancer
 * @param operators host and port to listen on for metrics and dumps
 * @param peers host and port to listen on for other routers
 * @param seeds host and port of routers to ask while the platform's VM list cannot be read; none by
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

    /** Describes a process that knows no seeds. */
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

    /** Returns the listening address of a setting. */
    static InetSocketAddress address(String hostAndPort) {
        URI uri = URI.create("tcp://" + hostAndPort);
        return new InetSocketAddress(uri.getHost(), Math.max(0, uri.getPort()));
    }
}
