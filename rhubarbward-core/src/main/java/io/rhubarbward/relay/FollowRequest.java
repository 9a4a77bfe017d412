package io.rhubarbward.relay;

import io.rhubarbward.membership.PeerMessage;
import io.rhubarbward.store.StoreRevision;
import java.util.Map;

/**
 * A follower asks a relay for what changed in the store.
 *
 * @param sentMillis the follower's monotonic clock at sending
 * @param unansweredMillis for how long the relay's answers have not arrived; 0 if they do
 * @param revisions the revision that the follower's state of each kind matches, by kind
 */
public record FollowRequest(
        long sentMillis, long unansweredMillis, Map<String, StoreRevision> revisions)
        implements PeerMessage {
    public FollowRequest {
        revisions = Map.copyOf(revisions);
    }
}
