package io.rhubarbward.forward;

import io.rhubarbward.catalog.Route;
import io.rhubarbward.placement.SendResult;
import io.rhubarbward.placement.TrackedServer;

/** Observes every request that is sent to a backend server. */
public interface SendObserver {
    /** Observes nothing. */
    SendObserver NONE =
            new SendObserver() {
                @Override
                public void onTimed(
                        TrackedServer server,
                        Route route,
                        long firstByteMillis,
                        double millisPerByte) {}

                @Override
                public void onEnded(TrackedServer server, Route route, SendResult result) {}
            };

    /**
     * Called once for each answer that begins, when its pace is known or it ends.
     *
     * @param server the server that the request was sent to
     * @param route the request's route
     * @param firstByteMillis time from the send to the first byte of the answer's body
     * @param millisPerByte mean time between the bytes after the first part; NaN if they are too
     *     few to tell
     */
    void onTimed(TrackedServer server, Route route, long firstByteMillis, double millisPerByte);

    /**
     * Called when a send has ended.
     *
     * @param result how the send ended
     */
    void onEnded(TrackedServer server, Route route, SendResult result);
}
