package io.rhubarbward.net.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import java.net.InetSocketAddress;

/**
 * The state in which a connection is refused or closed, for the log.
 *
 * @param client address and port of the client; empty if they are not known
 * @param pendingBytes bytes of responses that the client has not taken
 * @param requestInProgress whether a request was being served
 * @param detail the error that closed the connection; empty without one
 */
record ConnectionState(String client, long pendingBytes, boolean requestInProgress, String detail) {
    /** Returns the state of a connection; called on its event loop. */
    static ConnectionState of(Channel channel) {
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        CallerConnection connection = channel.pipeline().get(CallerConnection.class);
        return new ConnectionState(
                channel.remoteAddress() instanceof InetSocketAddress address
                        ? address.getHostString() + ":" + address.getPort()
                        : "",
                pending == null ? 0 : pending.totalPendingWriteBytes(),
                connection != null && connection.requestInProgress(),
                "");
    }

    ConnectionState withDetail(String newDetail) {
        return new ConnectionState(client, pendingBytes, requestInProgress, newDetail);
    }
}
