package io.rhubarbward.gossip;

import io.rhubarbward.hash.RendezvousHash;
import io.rhubarbward.membership.PeerMessage;
import java.util.Map;

/**
 * How many requests a router has in flight at each backend server.
 *
 * @param sentMillis the sender's monotonic clock
 * @param echoMillis the newest such time that the sender has had from the receiver; 0 if none
 * @param inFlight counts by {@link #serverHash}; servers with none are left out
 */
public record LoadNews(long sentMillis, long echoMillis, Map<Integer, Integer> inFlight)
        implements PeerMessage {
    public LoadNews {
        inFlight = Map.copyOf(inFlight);
    }

    /** Returns the short form of a server's id. */
    public static int serverHash(String serverId) {
        return (int) RendezvousHash.hash(serverId);
    }
}
