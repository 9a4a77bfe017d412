package io.rhubarbward.state;

/**
 * A part that shows its state on request.
 *
 * <p>The state is a tree of records, maps, lists and plain values that renders as JSON. It holds no
 * keys, no bodies and no chat names.
 */
public interface StateSource {
    /** Returns the name under which the dump shows the part. */
    String name();

    /** Returns a snapshot of the state; called on the timer service's thread. */
    Object state();
}
