package io.rhubarbward.request;

import java.util.ArrayList;
import java.util.List;

/**
 * Passes the outcome of each call to a backend server on to all subscribers.
 *
 * <pre>{@code
 * observers.subscribe(outcome -> log(outcome.result()));
 * }</pre>
 */
public final class CallObservers implements CallObserver {
    private final List<CallObserver> mSubscribers = new ArrayList<>();

    /** Adds a subscriber; subscribers are called in the order in which they were added. */
    public void subscribe(CallObserver subscriber) {
        mSubscribers.add(subscriber);
    }

    @Override
    public void onOutcome(CallOutcome outcome) {
        mSubscribers.forEach(subscriber -> subscriber.onOutcome(outcome));
    }
}
