package io.rhubarbward.relay;

import io.rhubarbward.membership.PeerMessage;
import java.util.Map;

/**
 * An aggregator tells a router of its data centre what all routers together have in flight.
 *
 * @param echoSequence the receiver's {@link LoadReport} that is counted in; 0 if none is
 * @param suspectsDigest digest of what the sender knows of requests that crash servers
 * @param inFlight requests in flight of all routers, keyed as in {@link LoadReport}
 */
public record LoadTotals(long echoSequence, long suspectsDigest, Map<Integer, Integer> inFlight)
        implements PeerMessage {
    public LoadTotals {
        inFlight = Map.copyOf(inFlight);
    }
}
