package io.rhubarbward.move;

import io.rhubarbward.membership.PeerMessage;
import java.util.Map;
import java.util.Set;

/**
 * Says which rollouts the sender knows, so that the receiver can send what is missing.
 *
 * @param known whether the sender has heard of the platform's rollouts at all
 * @param versions the version it holds of each
 * @param stopped the rollouts that every router is to stop
 */
public record RolloutDigest(boolean known, Map<String, Long> versions, Set<String> stopped)
        implements PeerMessage {
    public RolloutDigest {
        versions = Map.copyOf(versions);
        stopped = Set.copyOf(stopped);
    }
}
