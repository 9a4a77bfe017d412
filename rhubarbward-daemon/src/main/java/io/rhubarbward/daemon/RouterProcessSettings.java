package io.rhubarbward.daemon;

import java.net.InetSocketAddress;
import java.net.URI;

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
 */
public record RouterProcessSettings(
        String vm,
        String site,
        String dataCentre,
        String platform,
        String callers,
        String operators,
        String peers) {
    /** Returns the listening address of a setting. */
    static InetSocketAddress address(String hostAndPort) {
        URI uri = URI.create("tcp://" + hostAndPort);
        return new InetSocketAddress(uri.getHost(), Math.max(0, uri.getPort()));
    }
}
