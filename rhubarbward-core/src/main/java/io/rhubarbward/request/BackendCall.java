package io.rhubarbward.request;

/** A request that was sent to a backend server. */
public interface BackendCall {
    /** Stops reading the answer for now. */
    void pause();

    /** Reads the answer again. */
    void resume();

    /** Gives the call up and closes its connection. */
    void cancel();

    /**
     * Gives the call up because it fell silent: idle connections to the same address may be as dead
     * as this one, so none of them is used again.
     */
    default void expire() {
        cancel();
    }
}
