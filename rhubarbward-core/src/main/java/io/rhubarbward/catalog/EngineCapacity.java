package io.rhubarbward.catalog;

/**
 * What one model engine of a service can hold at once.
 *
 * @param slots requests that it runs concurrently
 * @param memoryTokens tokens that its memory holds for running requests and cached prompt parts
 */
public record EngineCapacity(int slots, long memoryTokens) {
    public EngineCapacity {
        if (slots <= 0 || memoryTokens <= 0) {
            throw new IllegalArgumentException(
                    "slots "
                            + slots
                            + ", memoryTokens "
                            + memoryTokens
                            + ": expected both above 0");
        }
    }

    /** Returns the tokens of memory for each slot. */
    public double tokensPerSlot() {
        return (double) memoryTokens / slots;
    }
}
