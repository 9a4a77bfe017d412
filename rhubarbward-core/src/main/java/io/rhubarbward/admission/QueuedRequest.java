package io.rhubarbward.admission;

/** What decides the place of a request in an {@link AdmissionQueue}. */
public interface QueuedRequest {
    /** Returns the rank; requests of rank 0 are the most urgent. */
    int rank();

    /** Returns the name of the client account; empty for a request without one. */
    String account();

    /** Returns the part of the request's time that is left, from 1 to 0; the smallest go first. */
    default double timeLeft(long nowMillis) {
        return 1;
    }

    /** Returns the places that the request takes at its server. */
    default double places() {
        return 1;
    }
}
