package io.rhubarbward.request;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.LongFunction;

/**
 * Sends the answer to one caller.
 *
 * <p>{@link #begin} is called once, then {@link #write} any number of times, then {@link #finish}
 * or {@link #abort}. After the end, only {@link #abort} has an effect: it closes the connection if
 * the answer is not written completely yet.
 */
public interface CallerResponse {
    /**
     * Tells which backend server gives the answer; called before {@link #begin}, if one does.
     *
     * @param incarnation a hash that names the server's incarnation, the same at every router
     */
    default void answeredBy(long incarnation) {}

    /** Sends the status and header fields. */
    void begin(int status, HeaderFields headers);

    /** Sends a part of the body. */
    void write(ByteBuffer part);

    /** Ends a complete answer. */
    void finish();

    /** Closes the connection, so that the caller can tell that the answer is incomplete. */
    void abort();

    /**
     * Runs the action, on any thread, once the whole answer was written to the connection or the
     * connection was closed. Called only after the end.
     */
    default void whenDelivered(Runnable action) {
        action.run();
    }

    /**
     * Sends a refusal as a complete answer.
     *
     * @param retryAfter gives the header fields for a delay in milliseconds
     */
    default void refuse(Refusal refusal, LongFunction<HeaderFields> retryAfter) {
        refusal.sendTo(this, retryAfter);
    }

    /**
     * Returns whether the caller still waits for the answer, as far as is known. A caller that has
     * left may be known here before {@link CallerListener#onGone} is called.
     */
    default boolean callerPresent() {
        return true;
    }

    /**
     * Returns why this process closed the caller's connection while the request was in progress;
     * empty while the connection is open, or if the caller closed it.
     */
    default Optional<ConnectionRefusal> closeCause() {
        return Optional.empty();
    }
}
