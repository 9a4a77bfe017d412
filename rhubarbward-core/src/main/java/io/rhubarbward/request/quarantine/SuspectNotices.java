package io.rhubarbward.request.quarantine;

import io.rhubarbward.membership.PeerMessage;
import java.util.List;

/**
 * Announces the state of suspect requests to peers.
 *
 * @param notices one for each request
 */
public record SuspectNotices(List<SuspectNotice> notices) implements PeerMessage {
    public SuspectNotices {
        notices = List.copyOf(notices);
    }
}
