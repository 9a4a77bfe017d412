package io.rhubarbward.engine;

import io.rhubarbward.membership.PeerMessage;
import java.util.List;

/**
 * Tells a peer the load of the engines that the sender has asked.
 *
 * @param loads one entry an engine
 */
public record LoadShare(List<SharedLoad> loads) implements PeerMessage {
    public LoadShare {
        loads = List.copyOf(loads);
    }
}
