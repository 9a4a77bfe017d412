package io.rhubarbward.net.backend;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;

/** What a connection carried before; used by the one call that has the connection. */
final class ConnectionHistory {
    private static final AttributeKey<ConnectionHistory> KEY =
            AttributeKey.valueOf(ConnectionHistory.class, "history");

    private int mRequests;

    private ConnectionHistory() {}

    /** Returns the history of the connection; that of a new one is empty. */
    static ConnectionHistory of(Channel channel) {
        ConnectionHistory known = channel.attr(KEY).get();
        if (known != null) {
            return known;
        }
        ConnectionHistory created = new ConnectionHistory();
        channel.attr(KEY).set(created);
        return created;
    }

    /** Counts a request; returns how many were sent before it. */
    int countRequest() {
        return mRequests++;
    }
}
