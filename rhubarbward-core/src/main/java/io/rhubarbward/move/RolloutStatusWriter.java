package io.rhubarbward.move;

import io.rhubarbward.store.StoreRevision;
import java.util.concurrent.CompletionStage;

/** Writes the state of a rollout order into the store. */
@FunctionalInterface
public interface RolloutStatusWriter {
    /**
     * Writes the state, unless the object has changed since the revision.
     *
     * @param name the name of the order's object
     * @return whether it was written; otherwise the newer object arrives by its watch
     */
    CompletionStage<Boolean> write(
            String name, String target, RolloutOrder.State state, StoreRevision revision);
}
