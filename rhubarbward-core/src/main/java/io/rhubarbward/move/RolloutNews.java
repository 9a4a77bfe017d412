package io.rhubarbward.move;

import io.rhubarbward.membership.PeerMessage;
import java.util.List;
import java.util.Set;

/**
 * Tells a peer of rollouts.
 *
 * @param summaries what the receiver may not know yet
 * @param stopped the rollouts that every router is to stop
 */
public record RolloutNews(List<RolloutSummary> summaries, Set<String> stopped)
        implements PeerMessage {
    public RolloutNews {
        summaries = List.copyOf(summaries);
        stopped = Set.copyOf(stopped);
    }
}
