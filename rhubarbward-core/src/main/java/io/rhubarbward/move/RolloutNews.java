package io.rhubarbward.move;

import io.rhubarbward.membership.PeerMessage;
import java.util.List;
import java.util.Set;

/**
 * Tells a peer of rollouts.
 *
 * @param words what the receiver may not know yet
 * @param stopped the rollouts that every router is to stop
 */
public record RolloutNews(List<RolloutWord> words, Set<String> stopped) implements PeerMessage {
    public RolloutNews {
        words = List.copyOf(words);
        stopped = Set.copyOf(stopped);
    }
}
