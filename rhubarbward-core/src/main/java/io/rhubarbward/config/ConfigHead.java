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
 * The object whose conditional update accepts a configuration.
 *
 * @param generation grows with every accepted change
 * @param accepted the newest acceptances, newest first, so that a writer whose answer was lost
 *     finds its own even after others have followed
 * @param content the chunks in force
 * @param previous what was in force before, for an undo; null in the first head
 */
record ConfigHead(
        long generation,
        List<Acceptance> accepted,
        ConfigContent content,
        @Nullable Previous previous) {
    private static final int KEPT_ACCEPTANCES = 16;
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    ConfigHead {
        accepted = List.copyOf(accepted);
    }

    static ConfigHead first(long generation, String nonce, ConfigContent content) {
        return new ConfigHead(
                generation, List.of(new Acceptance(generation, nonce)), content, null);
    }

    /** Returns the head that follows this one. */
    ConfigHead next(long generation, String nonce, ConfigContent content) {
        List<Acceptance> newest =
                Stream.concat(Stream.of(new Acceptance(generation, nonce)), accepted.stream())
                        .limit(KEPT_ACCEPTANCES)
                        .toList();
        return new ConfigHead(
                generation, newest, content, new Previous(this.generation, this.content));
    }

    /** Returns the generation that the writer of the nonce was given, if it was accepted. */
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
            throw new IllegalStateException("a head is plain data", e);
        }
    }

    /**
     * An accepted change.
     *
     * @param generation what it became
     * @param nonce chosen by its writer
     */
    record Acceptance(long generation, String nonce) {}

    /**
     * The configuration before this one.
     *
     * @param generation its generation
     * @param content its chunks
     */
    record Previous(long generation, ConfigContent content) {}
}
