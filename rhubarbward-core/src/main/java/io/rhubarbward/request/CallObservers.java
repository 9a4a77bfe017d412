package io.rhubarbward.request;

import java.util.ArrayList;
import java.util.List;

/**
 * Tells each subscriber how each call to a backend server ended.
 *
 * <pre>{@code
 * observers.subscribe(outcome -> log(outcome.result()));
 * }</pre>
 */
public final class CallObservers implements CallObserver {
    private final List<CallObserver> mSubscribers = new ArrayList<>();

    /** Adds a subscriber, told after those that were added before it. */
    public void subscribe(CallObserver subscriber) {
        mSubscribers.add(subscriber);
    }

    @Override
    public void onOutcome(CallOutcome outcome) {
        mSubscribers.forEach(subscriber -> subscriber.onOutcome(outcome));
    }
}
