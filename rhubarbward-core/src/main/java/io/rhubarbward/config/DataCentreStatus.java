package io.rhubarbward.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.util.Map;
import java.util.TreeMap;

/**
 * The generation that each router of a data centre has in force, as stored on the platform.
 *
 * @param dataCentre the data centre's name
 * @param epochMillis when the status was written, by its writer's wall clock
 * @param generations the generation in force by router; 0 if a router has none or it is unknown
 */
public record DataCentreStatus(String dataCentre, long epochMillis, Map<String, Long> generations) {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    public DataCentreStatus {
        generations = new TreeMap<>(generations);
    }

    /** Returns the highest generation that a router of the data centre has in force. */
    public long highest() {
        return generations.values().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    static Either<ConfigFailure, DataCentreStatus> parse(String text) {
        try {
            return Either.right(MAPPER.readValue(text, DataCentreStatus.class));
        } catch (JsonProcessingException e) {
            return Either.left(new ConfigFailure.Corrupt("status: " + e.getOriginalMessage()));
        }
    }

    String render() {
        try {
            return MAPPER.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(
                    "the data centre's status cannot be written as JSON", e);
        }
    }
}
