package io.rhubarbward.forward;

import io.rhubarbward.catalog.Route;
import io.rhubarbward.placement.SendResult;
import io.rhubarbward.placement.TrackedServer;

/** Told how each send to a backend server ended. */
@FunctionalInterface
public interface SendObserver {
    /**
     * A send ended.
     *
     * @param server where it went
     * @param route the request's route
     * @param result how it ended
     * @param firstByteMillis from the send to the first byte of the answer's body; negative if none
     */
    void onEnded(TrackedServer server, Route route, SendResult result, long firstByteMillis);
}
