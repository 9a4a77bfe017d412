package io.rhubarbward.forward;

import java.util.List;
import java.util.Optional;

/**
 * What a request says of its prompt.
 *
 * @param model the model that it asks for
 * @param promptTokens how many tokens are to be read
 * @param maxOutputTokens how many may be generated
 * @param parts the parts of the prompt in order; the last one belongs to the request or its session
 */
public record PromptMetadata(
        String model, int promptTokens, int maxOutputTokens, List<PromptPart> parts) {
    public PromptMetadata {
        parts = List.copyOf(parts);
    }

    /** Returns the last part that other requests share; empty if there is none. */
    public Optional<String> lastSharedPart() {
        return parts.size() < 2 ? Optional.empty() : Optional.of(parts.get(parts.size() - 2).id());
    }

    /** Returns how many tokens other requests share. */
    public int sharedTokens() {
        return parts.stream()
                .limit(Math.max(0, parts.size() - 1))
                .mapToInt(PromptPart::tokens)
                .sum();
    }

    /**
     * A part of a prompt.
     *
     * @param id the same for the same tokens
     * @param tokens its length
     */
    public record PromptPart(String id, int tokens) {}
}
