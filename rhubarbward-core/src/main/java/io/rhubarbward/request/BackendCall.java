package io.rhubarbward.request;

/** Controls a call to a backend server while it is in flight. */
public interface BackendCall {
    /** Stops reading the answer for now. */
    void pause();

    /** Resumes reading the answer. */
    void resume();

    /** Cancels the call and closes its connection. */
    void cancel();

    /**
     * Cancels the call after a timeout. Idle connections to the same address may be broken too, so
     * none of them is reused.
     */
    default void expire() {
        cancel();
    }

    /** Returns the connection of this call, and how much it was used before. */
    default ConnectionUse connection() {
        return ConnectionUse.UNKNOWN;
    }

    /** Returns whether any part of the request may have been sent. */
    default boolean mayHaveBeenSent() {
        return true;
    }
}
