package io.rhubarbward.move;

import io.rhubarbward.membership.PeerMessage;
import java.util.List;
import java.util.Set;

/**
 * A push of rollout summaries and stops to a peer.
 *
 * @param summaries the summaries that the receiver may not have yet
 * @param stopped the rollouts that every router is to stop
 */
public record RolloutNews(List<RolloutSummary> summaries, Set<String> stopped)
        implements PeerMessage {
    public RolloutNews {
        summaries = List.copyOf(summaries);
        stopped = Set.copyOf(stopped);
    }
}
