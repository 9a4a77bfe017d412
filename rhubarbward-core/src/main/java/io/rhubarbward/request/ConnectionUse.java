package io.rhubarbward.request;

/**
 * The connection of a call, and how much it was used before.
 *
 * @param name short text that tells connections of this process apart; empty if there is none yet
 * @param earlierRequests the number of requests that were sent on it before this call's
 */
public record ConnectionUse(String name, int earlierRequests) {
    /** No connection, or one of which nothing is known. */
    public static final ConnectionUse UNKNOWN = new ConnectionUse("", 0);

    /** Returns whether an earlier request was sent on the connection. */
    public boolean kept() {
        return earlierRequests > 0;
    }
}
