package io.rhubarbward.membership;

import java.util.Collection;
import java.util.function.BiConsumer;

/**
 * Sends messages to peers: best effort, without acknowledgement and unordered across peers.
 *
 * <p>Handlers run on the timer service's thread.
 */
public interface PeerTransport {
    /** Sends the message, or drops it when the peer cannot be reached. */
    void send(Peer to, PeerMessage message);

    /** Sends the same message to several peers. */
    default void sendToAll(Collection<Peer> receivers, PeerMessage message) {
        receivers.forEach(peer -> send(peer, message));
    }

    /** Closes the connection to the peer; the next message opens another. */
    default void reconnect(Peer to) {}

    /** Calls the handler with each message of the type and the VM name of its sender. */
    <M extends PeerMessage> void subscribe(Class<M> type, BiConsumer<String, M> handler);
}
