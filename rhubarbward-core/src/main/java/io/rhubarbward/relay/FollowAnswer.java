package io.rhubarbward.relay;

import io.rhubarbward.membership.PeerMessage;
import io.rhubarbward.store.KindUpdate;
import java.util.List;

/**
 * A relay's answer to a {@link FollowRequest}, or an update that it sends unasked.
 *
 * @param echoMillis the {@code sentMillis} of the request; {@link #UNASKED} without a request
 * @param serving whether the relay is up to date with the store; if not, there are no kinds
 * @param millisSinceOutage how long ago the relay's last outage of the store ended
 * @param kinds what changed
 */
public record FollowAnswer(
        long echoMillis, boolean serving, long millisSinceOutage, List<KindNews> kinds)
        implements PeerMessage {
    /** Stands for the sending time of a request in an update that was not asked for. */
    public static final long UNASKED = Long.MIN_VALUE;

    public FollowAnswer {
        kinds = List.copyOf(kinds);
    }

    static FollowAnswer notServing(long echoMillis) {
        return new FollowAnswer(echoMillis, false, 0, List.of());
    }

    /**
     * News of one kind.
     *
     * @param update the changes; without objects if there are none
     * @param stalenessMillis how stale the relay's state of the kind may have been at sending
     */
    public record KindNews(KindUpdate update, long stalenessMillis) {}
}
