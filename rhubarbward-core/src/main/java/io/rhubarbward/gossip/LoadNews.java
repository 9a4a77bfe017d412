package io.rhubarbward.gossip;

import io.rhubarbward.hash.RendezvousHash;
import io.rhubarbward.membership.PeerMessage;
import java.util.Map;

/**
 * A peer message: how many requests the sender has in flight at each backend server.
 *
 * @param sentMillis the sender's monotonic clock at sending
 * @param echoMillis the {@code sentMillis} of the newest message that the sender has received from
 *     the receiver; 0 if none
 * @param inFlight requests in flight by {@link #serverHash}; servers without any are left out
 */
public record LoadNews(long sentMillis, long echoMillis, Map<Integer, Integer> inFlight)
        implements PeerMessage {
    public LoadNews {
        inFlight = Map.copyOf(inFlight);
    }

    /** Returns a 32-bit hash of a server's id, which keeps messages short. */
    public static int serverHash(String serverId) {
        return (int) RendezvousHash.hash(serverId);
    }
}
