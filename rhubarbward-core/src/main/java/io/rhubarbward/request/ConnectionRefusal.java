package io.rhubarbward.request;

import java.util.Locale;

/** Why this process refuses or closes a connection that its client would keep. */
public enum ConnectionRefusal {
    /** The listener has its largest number of connections. */
    TOO_MANY_CONNECTIONS,
    /** A head, with the empty lines before it, is over its limit. */
    HEAD_TOO_LARGE,
    /** A head did not end in time. */
    HEAD_TIMEOUT,
    /** The heads of other requests take up the memory for them. */
    HEAD_MEMORY_FULL,
    /** There is no memory for what a client sends ahead of its responses. */
    PIPELINE_MEMORY_FULL,
    /** There is no memory for what a client does not read. */
    RESPONSE_MEMORY_FULL,
    /** A client reads nothing of a pending response. */
    SLOW_READER,
    /** The unfinished messages of other routers take up the memory for them. */
    PEER_MEMORY_FULL,
    /** The rest of a refused request cannot be decoded, is too long or does not end in time. */
    UNREADABLE_REST,
    /** Handling what the connection brought threw an exception. */
    INTERNAL_ERROR,
    /** The listener is closed while a request is in progress. */
    LISTENER_CLOSED;

    /** Returns the name in log lines and metrics. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
