package io.rhubarbward.state;

/**
 * A component that contributes to state dumps.
 *
 * <p>The state is a tree of records, maps, lists and plain values that renders as JSON. It must not
 * contain API keys, request or answer bodies, or chat names.
 */
public interface StateSource {
    /** Returns the name of the component in the dump. */
    String name();

    /** Returns a snapshot of the state. Called on the timer service's thread. */
    Object state();
}
