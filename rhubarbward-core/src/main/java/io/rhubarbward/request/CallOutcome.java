package io.rhubarbward.request;

import io.rhubarbward.config.BackendServer;
import java.util.Optional;

/**
 * How one call to one backend server ended.
 *
 * @param server where the call went
 * @param path the path that the caller asked for
 * @param chat the chat that the request belongs to, if any
 * @param result how it ended
 * @param firstByteMillis from sending to the answer's head; -1 if none came
 * @param totalMillis from sending to the end
 * @param parts parts of the answer's body; near the number of tokens for an engine's stream
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
        /** Answered whole, with a status below 500. */
        ANSWERED,
        /** Answered whole, with a status of 500 or above. */
        SERVER_ERROR,
        /** Cut, silent, or without a connection. */
        FAILED,
        /** Given up because the caller had gone or the deadline had passed. */
        GIVEN_UP
    }
}
