package io.rhubarbward.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * The object that names the newest accepted configuration; a change is accepted by compare-and-set
 * of it.
 *
 * @param generation grows with every accepted change
 * @param accepted the last acceptances, newest first, so that a writer whose answer was lost finds
 *     its own even if others have followed
 * @param content the chunks of the newest configuration
 * @param previous the configuration before it, for an undo; null in the first head
 */
record ConfigHead(
        long generation,
        List<Acceptance> accepted,
        ConfigContent content,
        @Nullable Previous previous) {
    private static final int MAX_ACCEPTANCES = 16;
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    ConfigHead {
        accepted = List.copyOf(accepted);
    }

    static ConfigHead first(long generation, String nonce, ConfigContent content) {
        return new ConfigHead(
                generation, List.of(new Acceptance(generation, nonce)), content, null);
    }

    /** Returns the head that replaces this one. */
    ConfigHead next(long generation, String nonce, ConfigContent content) {
        List<Acceptance> newest =
                Stream.concat(Stream.of(new Acceptance(generation, nonce)), accepted.stream())
                        .limit(MAX_ACCEPTANCES)
                        .toList();
        return new ConfigHead(
                generation, newest, content, new Previous(this.generation, this.content));
    }

    /**
     * Returns the generation of the change with the nonce; empty if it is not among the last
     * acceptances.
     */
    Optional<Long> acceptedAs(String nonce) {
        return accepted.stream()
                .filter(acceptance -> acceptance.nonce().equals(nonce))
                .map(Acceptance::generation)
                .findFirst();
    }

    static Either<ConfigFailure, ConfigHead> parse(String text) {
        try {
            return Either.right(MAPPER.readValue(text, ConfigHead.class));
        } catch (JsonProcessingException e) {
            return Either.left(new ConfigFailure.Corrupt("head: " + e.getOriginalMessage()));
        }
    }

    String render() {
        try {
            return MAPPER.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the configuration head cannot be written as JSON", e);
        }
    }

    /**
     * An accepted change.
     *
     * @param generation the generation that the change became
     * @param nonce a value that only the change's writer has chosen
     */
    record Acceptance(long generation, String nonce) {}

    /**
     * The configuration before this one.
     *
     * @param generation the generation of that configuration
     * @param content the chunks of that configuration
     */
    record Previous(long generation, ConfigContent content) {}
}
