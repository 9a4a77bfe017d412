package io.rhubarbward.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Try;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * {@code rhubarbward explain}: prints the story of one request from routers' logs.
 *
 * <p>The story holds the request's own lines and, marked, what its routers came to believe of the
 * store, of themselves and of the servers that it was sent to, from shortly before it to its end.
 */
final class ExplainCommand implements Command {
    /** How long before a request's first line beliefs are shown: a few periods of the store. */
    private static final long BACKGROUND_MILLIS = 10_000;

    private static final Set<String> HEADINGS =
            Set.of("ts", "vm", "event", "id", "level", "number");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Override
    public void configure(Subparsers commands) {
        Subparser parser =
                commands.addParser("explain")
                        .help("print what routers' logs say of one request, in order")
                        .setDefault(CHOSEN, this);
        parser.addArgument("id").metavar("ID").help("the request's id");
        parser.addArgument("--log")
                .metavar("FILE")
                .setDefault("/dev/stdin")
                .help("JSON lines of one or more routers (default: standard input)");
    }

    @Override
    public ExitCode run(Namespace arguments, Console console) {
        String id = arguments.getString("id");
        String file = arguments.getString("log");
        try (Stream<String> lines = Files.lines(Path.of(file), StandardCharsets.UTF_8)) {
            List<ObjectNode> events = lines.flatMap(line -> event(line).stream()).toList();
            List<ObjectNode> own = events.stream().filter(event -> isOf(event, id)).toList();
            if (own.isEmpty()) {
                return console.fail(
                        ExitCode.USAGE,
                        "id "
                                + id
                                + ": none of "
                                + events.size()
                                + " log lines of "
                                + file
                                + " has it; expected the id of a request");
            }
            long first = own.stream().mapToLong(ExplainCommand::time).min().orElseThrow();
            story(events, own, id, first).forEach(event -> console.print(line(event, id, first)));
            return ExitCode.OK;
        } catch (IOException e) {
            return console.fail(ExitCode.USAGE, file + ": expected a readable log: " + e);
        }
    }

    /** Reads a line's JSON object, whatever a collector of logs wrote before it. */
    private static Optional<ObjectNode> event(String line) {
        int start = line.indexOf('{');
        return start < 0
                ? Optional.empty()
                : Try.of(() -> MAPPER.readTree(line.substring(start)))
                        .toJavaOptional()
                        .filter(node -> node instanceof ObjectNode && node.has("event"))
                        .map(ObjectNode.class::cast);
    }

    private static boolean isOf(JsonNode event, String id) {
        return event.path("id").asText().equals(id);
    }

    private static long time(JsonNode event) {
        return event.path("ts").asLong();
    }

    private static Stream<ObjectNode> story(
            List<ObjectNode> events, List<ObjectNode> own, String id, long first) {
        long last = own.stream().mapToLong(ExplainCommand::time).max().orElseThrow();
        Set<String> routers = texts(own, "vm");
        Set<String> servers = texts(own, "server");
        return events.stream()
                .filter(
                        event ->
                                isOf(event, id)
                                        || (!event.has("id")
                                                && routers.contains(event.path("vm").asText())
                                                && time(event) >= first - BACKGROUND_MILLIS
                                                && time(event) <= last
                                                && concerns(event, servers)))
                .sorted(Comparator.comparingLong(ExplainCommand::time));
    }

    /** A belief of a server matters if the request went there; all others may matter. */
    private static boolean concerns(JsonNode event, Set<String> servers) {
        return !event.has("server") || servers.contains(event.path("server").asText());
    }

    private static Set<String> texts(List<ObjectNode> events, String field) {
        return events.stream()
                .filter(event -> event.has(field))
                .map(event -> event.path(field).asText())
                .collect(Collectors.toSet());
    }

    private static String line(ObjectNode event, String id, long first) {
        String fields =
                event.properties().stream()
                        .filter(field -> !HEADINGS.contains(field.getKey()))
                        .map(field -> field.getKey() + "=" + field.getValue().asText())
                        .collect(Collectors.joining(" "));
        return String.format(
                "%+8d ms %s %s %s %s",
                time(event) - first,
                isOf(event, id) ? " " : "~",
                event.path("vm").asText(),
                event.path("event").asText(),
                fields);
    }
}
