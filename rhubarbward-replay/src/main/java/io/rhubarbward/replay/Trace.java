package io.rhubarbward.replay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A site's recorded or generated events as JSON Lines: a {@link TraceHeader} on the first line,
 * then one {@link TraceEvent} a line.
 *
 * @param header the initial state of the site
 * @param events the events, each with the time at which it happens
 */
public record Trace(TraceHeader header, List<TraceEvent> events) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    public Trace {
        events = List.copyOf(events);
    }

    /** Parses the lines of a trace, or returns the first line that cannot be read. */
    public static Either<TraceFailure, Trace> parse(List<String> lines) {
        if (lines.isEmpty()) {
            return Either.left(new TraceFailure(1, "the trace is empty: expected a header"));
        }
        int line = 1;
        try {
            TraceHeader header = MAPPER.readValue(lines.get(0), TraceHeader.class);
            List<TraceEvent> events = new ArrayList<>();
            for (String text : lines.subList(1, lines.size())) {
                line++;
                events.add(MAPPER.readValue(text, TraceEvent.class));
            }
            return Either.right(new Trace(header, events));
        } catch (JsonProcessingException e) {
            return Either.left(new TraceFailure(line, e.getOriginalMessage()));
        }
    }

    /** Returns the trace as JSON Lines. */
    public String text() {
        return Stream.concat(Stream.of(header), events.stream())
                .map(Trace::line)
                .collect(Collectors.joining("\n", "", "\n"));
    }

    private static String line(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("a line of the trace cannot be written as JSON", e);
        }
    }

    /**
     * Why a trace cannot be read.
     *
     * @param line the line, from 1
     * @param detail what is wrong with the line
     */
    public record TraceFailure(int line, String detail) {}
}
