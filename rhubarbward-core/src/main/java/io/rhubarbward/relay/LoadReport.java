package io.rhubarbward.relay;

import io.rhubarbward.membership.PeerMessage;
import io.rhubarbward.move.PairedFigures;
import io.rhubarbward.placement.LimitObservation;
import java.util.Map;

/**
 * A router tells its aggregator how many requests it has in flight at each backend server.
 *
 * @param sequence grows with each report of the sender; the first one is 1
 * @param suspectsDigest digest of what the sender knows of requests that crash servers
 * @param inFlight requests in flight by {@link
 *     io.rhubarbward.placement.TrackedServer#hash(String)}; servers without any are left out
 * @param limits what is known of servers that state a limit on their requests, keyed likewise
 * @param versions figures of open rollouts, by service, target version and route
 * @param accountPlaces tenths of a place that open requests take, by {@link
 *     io.rhubarbward.admission.AccountUsage#key}; empty while no service is short of room
 */
public record LoadReport(
        long sequence,
        long suspectsDigest,
        Map<Integer, Integer> inFlight,
        Map<Integer, LimitObservation> limits,
        Map<String, PairedFigures> versions,
        Map<Long, Integer> accountPlaces)
        implements PeerMessage {
    public LoadReport {
        inFlight = Map.copyOf(inFlight);
        limits = Map.copyOf(limits);
        versions = Map.copyOf(versions);
        accountPlaces = Map.copyOf(accountPlaces);
    }
}
