package io.rhubarbward.relay;

import io.rhubarbward.membership.PeerMessage;
import io.rhubarbward.move.PairedFigures;
import io.rhubarbward.placement.LimitObservation;
import java.util.Map;

/**
 * An aggregator tells a router of its data centre what all routers together have in flight.
 *
 * @param echoSequence the receiver's {@link LoadReport} that is counted in; 0 if none is
 * @param suspectsDigest digest of what the sender knows of requests that crash servers
 * @param inFlight requests in flight of all routers, keyed as in {@link LoadReport}
 * @param limits what is known of servers that state a limit on their requests, keyed likewise
 * @param versions figures of open rollouts, by service, target version and route
 * @param accountPlaces the largest sums of the counts in {@link LoadReport}, keyed likewise
 */
public record LoadTotals(
        long echoSequence,
        long suspectsDigest,
        Map<Integer, Integer> inFlight,
        Map<Integer, LimitObservation> limits,
        Map<String, PairedFigures> versions,
        Map<Long, Integer> accountPlaces)
        implements PeerMessage {
    public LoadTotals {
        inFlight = Map.copyOf(inFlight);
        limits = Map.copyOf(limits);
        versions = Map.copyOf(versions);
        accountPlaces = Map.copyOf(accountPlaces);
    }
}
