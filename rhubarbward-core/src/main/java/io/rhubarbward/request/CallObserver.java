package io.rhubarbward.request;

/** Receives the outcome of each call to a backend server. */
@FunctionalInterface
public interface CallObserver {
    /** Called when a call has ended, on the timer service's thread. */
    void onOutcome(CallOutcome outcome);
}
