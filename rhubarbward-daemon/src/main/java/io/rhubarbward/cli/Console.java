package io.rhubarbward.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.PrintStream;

/**
 * The output streams of a command.
 *
 * @param out standard output, for results
 * @param err standard error, for error messages
 */
public record Console(PrintStream out, PrintStream err) {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(SerializationFeature.INDENT_OUTPUT)
                    .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                    .build();

    /** Returns a console on the process's standard streams. */
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
            throw new IllegalArgumentException("cannot write the result as JSON", e);
        }
    }

    /** Prints the reason for a failure and returns the given exit code. */
    ExitCode fail(ExitCode code, String message) {
        err.println("rhubarbward: " + message);
        return code;
    }
}
