package io.rhubarbward.relay;

import io.rhubarbward.membership.PeerMessage;
import io.rhubarbward.move.PairedFigures;
import io.rhubarbward.placement.LimitObservation;
import java.util.Map;

/**
 * An aggregator tells that of another data centre what its routers have in flight.
 *
 * @param aggregator the VM name of the router that made the sum
 * @param unheardMillis for how long it has not heard from the receiver's data centre
 * @param forwarded whether a router that is no aggregator has passed the message on
 * @param suspectsDigest digest of what the aggregator knows of requests that crash servers
 * @param inFlight the sum over the routers that report to the aggregator, keyed as in {@link
 *     LoadReport}
 * @param limits what these routers know of servers that state a limit, keyed likewise
 * @param versions figures of open rollouts, by service, target version and route
 * @param accountPlaces the largest sums of the counts in {@link LoadReport}, keyed likewise
 */
public record DataCentreLoad(
        String aggregator,
        long unheardMillis,
        boolean forwarded,
        long suspectsDigest,
        Map<Integer, Integer> inFlight,
        Map<Integer, LimitObservation> limits,
        Map<String, PairedFigures> versions,
        Map<Long, Integer> accountPlaces)
        implements PeerMessage {
    public DataCentreLoad {
        inFlight = Map.copyOf(inFlight);
        limits = Map.copyOf(limits);
        versions = Map.copyOf(versions);
        accountPlaces = Map.copyOf(accountPlaces);
    }

    DataCentreLoad asForwarded() {
        return new DataCentreLoad(
                aggregator,
                unheardMillis,
                true,
                suspectsDigest,
                inFlight,
                limits,
                versions,
                accountPlaces);
    }
}
