package io.rhubarbward.engine;

import io.rhubarbward.membership.PeerMessage;
import java.util.List;

/**
 * Message with the load of engines, sent to the routers of the sender's data centre.
 *
 * @param loads one entry for each engine
 */
public record LoadShare(List<SharedLoad> loads) implements PeerMessage {
    public LoadShare {
        loads = List.copyOf(loads);
    }
}
