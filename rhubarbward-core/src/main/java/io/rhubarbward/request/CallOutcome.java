package io.rhubarbward.request;

import io.rhubarbward.config.BackendServer;
import java.util.Optional;

/**
 * The outcome of one call to a backend server.
 *
 * @param server the called server
 * @param path the path that the caller requested
 * @param chat the chat that the request belongs to, if any
 * @param result how the call ended
 * @param firstByteMillis the time from sending to the answer's head; -1 without a head
 * @param totalMillis the time from sending to the end of the call
 * @param parts the number of parts of the answer's body; near the number of tokens for an engine's
 *     stream
 */
public record CallOutcome(
        BackendServer server,
        String path,
        Optional<String> chat,
        Result result,
        long firstByteMillis,
        long totalMillis,
        int parts) {
    /** How a call ended. */
    public enum Result {
        /** Completely answered, with a status below 500. */
        ANSWERED,
        /** Completely answered, with a status of 500 or above. */
        SERVER_ERROR,
        /** Failed: the answer was incomplete or timed out, or there was no connection. */
        FAILED,
        /** Cancelled because the caller had disconnected or the deadline had passed. */
        GIVEN_UP
    }
}
