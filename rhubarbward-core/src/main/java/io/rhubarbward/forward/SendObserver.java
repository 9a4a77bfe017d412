package io.rhubarbward.forward;

import io.rhubarbward.catalog.Route;
import io.rhubarbward.placement.SendResult;
import io.rhubarbward.placement.TrackedServer;

/** Observes the result of every request that is sent to a backend server. */
@FunctionalInterface
public interface SendObserver {
    /**
     * Called when a send has ended.
     *
     * @param server the server that the request was sent to
     * @param route the request's route
     * @param result how the send ended
     * @param firstByteMillis time from the send to the first byte of the answer's body; negative if
     *     none arrived
     */
    void onEnded(TrackedServer server, Route route, SendResult result, long firstByteMillis);
}
