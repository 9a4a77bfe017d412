package io.rhubarbward.relay;

import io.rhubarbward.membership.PeerMessage;
import java.util.Map;

/**
 * A router tells its aggregator how many requests it has in flight at each backend server.
 *
 * @param sequence grows with each report of the sender; the first one is 1
 * @param suspectsDigest digest of what the sender knows of requests that crash servers
 * @param inFlight requests in flight by {@link
 *     io.rhubarbward.placement.TrackedServer#hash(String)}; servers without any are left out
 */
public record LoadReport(long sequence, long suspectsDigest, Map<Integer, Integer> inFlight)
        implements PeerMessage {
    public LoadReport {
        inFlight = Map.copyOf(inFlight);
    }
}
