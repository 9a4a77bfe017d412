package io.rhubarbward.forward;

import java.util.List;
import java.util.Optional;

/**
 * The prompt of a request, as its header fields describe it.
 *
 * @param model the requested model
 * @param promptTokens the length of the prompt in tokens
 * @param maxOutputTokens the most tokens that may be generated
 * @param parts the parts of the prompt in order; the last one belongs to the request or its session
 */
public record PromptMetadata(
        String model, int promptTokens, int maxOutputTokens, List<PromptPart> parts) {
    public PromptMetadata {
        parts = List.copyOf(parts);
    }

    /** Returns the parts that other requests share, in order: all but the last one. */
    public List<PromptPart> sharedParts() {
        return parts.subList(0, Math.max(0, parts.size() - 1));
    }

    /** Returns the id of the last part that other requests share; empty if there is none. */
    public Optional<String> lastSharedPart() {
        return parts.size() < 2 ? Optional.empty() : Optional.of(parts.get(parts.size() - 2).id());
    }

    /** Returns the number of tokens in the parts that other requests share. */
    public int sharedTokens() {
        return sharedParts().stream().mapToInt(PromptPart::tokens).sum();
    }

    /**
     * A part of a prompt.
     *
     * @param id the same for every part with the same tokens
     * @param tokens the length of the part in tokens
     */
    public record PromptPart(String id, int tokens) {}
}
