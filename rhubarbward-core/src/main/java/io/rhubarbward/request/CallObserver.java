package io.rhubarbward.request;

/** Told how each call to a backend server ended. */
@FunctionalInterface
public interface CallObserver {
    /** Takes the outcome, on the timer service's thread. */
    void onOutcome(CallOutcome outcome);
}
