package io.rhubarbward.admission;

import java.util.Locale;

/** Whether a request may be placed at a server now. */
public sealed interface AdmissionDecision {
    /** The request may be placed. */
    record Admitted() implements AdmissionDecision {}

    /**
     * The request waits in the queue.
     *
     * @param cause why it is put off
     * @param maxWaitMillis how long it waits at most
     */
    record Waits(Cause cause, long maxWaitMillis) implements AdmissionDecision {}

    /**
     * The request is refused.
     *
     * @param cause why it is put off
     * @param retryAfterMillis the time after which a retry may succeed
     */
    record Refused(Cause cause, long retryAfterMillis) implements AdmissionDecision {}

    /** Why a request is put off. */
    enum Cause {
        /** With the request, its account would use more than its share of the places. */
        ACCOUNT_OVER_SHARE,
        /** The places that requests of its rank may fill are occupied. */
        RANK_FULL,
        /** Other requests wait that have their turn first. */
        OTHERS_WAIT,
        /** Every server that could take the request is at its maximum load. */
        SERVERS_FULL,
        /** The request has waited as long as it may. */
        WAIT_OVER,
        /** The queue is full and all others go first. */
        QUEUE_FULL;

        /** Returns the name as written in logs, such as {@code rank-full}. */
        public String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }
}
