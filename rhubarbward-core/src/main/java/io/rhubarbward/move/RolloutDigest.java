package io.rhubarbward.move;

import io.rhubarbward.membership.PeerMessage;
import java.util.Map;
import java.util.Set;

/**
 * The anti-entropy digest of a router's view of the rollouts; the receiver answers with what is
 * missing.
 *
 * @param known whether the sender has the complete list of rollouts
 * @param versions the object version that the sender has of each rollout, by name
 * @param stopped the rollouts that every router is to stop
 */
public record RolloutDigest(boolean known, Map<String, Long> versions, Set<String> stopped)
        implements PeerMessage {
    public RolloutDigest {
        versions = Map.copyOf(versions);
        stopped = Set.copyOf(stopped);
    }
}
