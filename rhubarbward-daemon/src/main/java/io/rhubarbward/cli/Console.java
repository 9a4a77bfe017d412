package io.rhubarbward.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.PrintStream;

/**
 * Where a command writes.
 *
 * @param out results
 * @param err what went wrong
 */
public record Console(PrintStream out, PrintStream err) {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(SerializationFeature.INDENT_OUTPUT)
                    .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                    .build();

    /** Returns the process's own console. */
    public static Console system() {
        return new Console(System.out, System.err);
    }

    void print(String line) {
        out.println(line);
    }

    void printJson(Object value) {
        try {
            out.println(MAPPER.writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("expected plain data", e);
        }
    }

    /** Writes why a command failed and returns its code. */
    ExitCode fail(ExitCode code, String message) {
        err.println("rhubarbward: " + message);
        return code;
    }
}
