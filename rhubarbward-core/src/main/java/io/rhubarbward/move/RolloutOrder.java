package io.rhubarbward.move;

import java.time.Duration;

/**
 * An operator's order in the store to move a service to another version of its servers.
 *
 * @param service the name of the service
 * @param target the version to move to, whose servers run beside the others
 * @param duration the time until the order must have been carried out or undone
 * @param state how far it is
 */
public record RolloutOrder(String service, String target, Duration duration, State state) {
    /** How far an order is. */
    public enum State {
        /** No router has written a state yet. */
        REQUESTED,
        RUNNING,
        /** All requests go to the target; the other servers may be stopped. */
        COMPLETED,
        /** No request goes to the target; its servers may be stopped. */
        ROLLED_BACK;

        /** Returns whether nothing more is decided about the order. */
        public boolean ended() {
            return this == COMPLETED || this == ROLLED_BACK;
        }
    }
}
