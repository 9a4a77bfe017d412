package io.rhubarbward.request;

import java.nio.ByteBuffer;

/**
 * The way back to one caller.
 *
 * <p>{@link #begin} comes once, then any number of {@link #write}, then {@link #finish} or {@link
 * #abort}. After the end, only {@link #abort} does something: it cuts what has not left yet.
 */
public interface CallerResponse {
    /** Sends the status and header fields. */
    void begin(int status, HeaderFields headers);

    /** Sends a part of the body. */
    void write(ByteBuffer part);

    /** Ends the answer as whole. */
    void finish();

    /** Cuts the connection, so that the caller sees that the answer is not whole. */
    void abort();

    /**
     * Runs the action, on any thread, once all that was written has left for the caller or its
     * connection is gone; called after the end.
     */
    default void whenDelivered(Runnable action) {
        action.run();
    }
}
