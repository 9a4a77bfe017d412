package io.rhubarbward.reach;

import io.rhubarbward.placement.SendResult;
import io.rhubarbward.placement.TrackedServer;

/**
 * Whether this router reaches the backend servers, as the calls that it makes show.
 *
 * <p>A router that reaches none must not hold that against the servers: what its calls show then
 * says something about its own links.
 */
public interface Reachability {
    /** A router that reaches its servers all the time. */
    Reachability ALWAYS =
            new Reachability() {
                @Override
                public ReachState state() {
                    return ReachState.CONNECTED;
                }

                @Override
                public void onSent(Object call, TrackedServer server) {}

                @Override
                public void onHeard(Object call) {}

                @Override
                public SendResult onEnded(
                        Object call,
                        TrackedServer server,
                        SendResult result,
                        Runnable ifServersFault) {
                    return result;
                }

                @Override
                public void whenConfirmed(long sentMillis, Runnable action) {
                    action.run();
                }
            };

    /** Returns what is known now. */
    ReachState state();

    /**
     * Records that a request is being sent to a server.
     *
     * @param call identifies the call
     */
    void onSent(Object call, TrackedServer server);

    /** Records that a part of the call's answer has arrived. */
    void onHeard(Object call);

    /**
     * Records the end of a call.
     *
     * @param ifServersFault records the failure; run later if the result is withheld now and this
     *     router's links turn out to work
     * @return the result to hold against the server now: {@link SendResult#CANCELLED} in place of a
     *     failure that this router's own links may explain
     */
    SendResult onEnded(
            Object call, TrackedServer server, SendResult result, Runnable ifServersFault);

    /**
     * Runs the action soon if the failure of a call that has just ended was not due to this
     * router's own links, and never otherwise.
     *
     * @param sentMillis when the call was sent
     */
    void whenConfirmed(long sentMillis, Runnable action);
}
