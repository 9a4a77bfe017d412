package io.rhubarbward.admission;

import io.rhubarbward.catalog.EngineCapacity;
import io.rhubarbward.catalog.ServiceProfile;

/**
 * Computes how many places a request takes at its server.
 *
 * <p>An engine has as many places as slots. A request takes one, or more if it needs more memory
 * than there is for each slot.
 */
public final class RequestCost {
    private RequestCost() {}

    /**
     * Returns the places that a request takes, from 1 to the slots of one engine.
     *
     * @param tokens length of its prompt and the most tokens that may be generated; 0 without a
     *     prompt
     */
    public static double places(ServiceProfile service, long tokens) {
        return service.engineCapacity().map(capacity -> places(capacity, tokens)).orElse(1.0);
    }

    private static double places(EngineCapacity capacity, long tokens) {
        return Math.min(capacity.slots(), Math.max(1, tokens / capacity.tokensPerSlot()));
    }
}
