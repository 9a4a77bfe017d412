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
 * {@code rhubarbward explain}: prints the log events that concern one request, ordered by time.
 *
 * <p>These are the request's own events and its context, marked with {@code ~}: events without a
 * request id from the routers that handled it, from shortly before its first event to its last.
 * Context events that name a server are printed only if the request was sent to that server. The
 * last lines say why the request was put off for want of room, if it was.
 */
final class ExplainCommand implements Command {
    /**
     * How long before a request's first event context events are printed: a few update periods of
     * the store.
     */
    private static final long CONTEXT_MILLIS = 10_000;

    /** Fields that are not printed as {@code key=value}; some have a column of their own. */
    private static final Set<String> EXCLUDED_FIELDS =
            Set.of("ts", "vm", "event", "id", "level", "number");

    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Override
    public void configure(Subparsers commands) {
        Subparser parser =
                commands.addParser("explain")
                        .help("print the log events that concern one request, ordered by time")
                        .setDefault(COMMAND_KEY, this);
        parser.addArgument("id").metavar("ID").help("the request's id, as in the log field id");
        parser.addArgument("--log")
                .metavar("FILE")
                .setDefault("/dev/stdin")
                .help("log of one or more routers, in JSON Lines (default: standard input)");
    }

    @Override
    public ExitCode run(Namespace arguments, Console console) {
        String id = arguments.getString("id");
        String file = arguments.getString("log");
        try (Stream<String> lines = Files.lines(Path.of(file), StandardCharsets.UTF_8)) {
            List<ObjectNode> events = lines.flatMap(line -> parse(line).stream()).toList();
            List<ObjectNode> requestEvents =
                    events.stream().filter(event -> hasId(event, id)).toList();
            if (requestEvents.isEmpty()) {
                return console.fail(
                        ExitCode.USAGE,
                        "id "
                                + id
                                + ": none of "
                                + events.size()
                                + " log events in "
                                + file
                                + " has this id; expected the id of a request");
            }
            long startMillis =
                    requestEvents.stream()
                            .mapToLong(ExplainCommand::epochMillis)
                            .min()
                            .orElseThrow();
            relatedEvents(events, requestEvents, id, startMillis)
                    .forEach(event -> console.print(format(event, id, startMillis)));
            requestEvents.stream()
                    .flatMap(event -> PutOffExplanation.of(event).stream())
                    .forEach(console::print);
            return ExitCode.OK;
        } catch (IOException e) {
            return console.fail(ExitCode.USAGE, file + ": expected a readable log: " + e);
        }
    }

    /** Parses a line's JSON object, and skips any prefix that a log collector added. */
    private static Optional<ObjectNode> parse(String line) {
        int start = line.indexOf('{');
        return start < 0
                ? Optional.empty()
                : Try.of(() -> MAPPER.readTree(line.substring(start)))
                        .toJavaOptional()
                        .filter(node -> node instanceof ObjectNode && node.has("event"))
                        .map(ObjectNode.class::cast);
    }

    private static boolean hasId(JsonNode event, String id) {
        return event.path("id").asText().equals(id);
    }

    private static long epochMillis(JsonNode event) {
        return event.path("ts").asLong();
    }

    private static Stream<ObjectNode> relatedEvents(
            List<ObjectNode> events, List<ObjectNode> requestEvents, String id, long startMillis) {
        long endMillis =
                requestEvents.stream().mapToLong(ExplainCommand::epochMillis).max().orElseThrow();
        Set<String> routers = distinctValues(requestEvents, "vm");
        Set<String> servers = distinctValues(requestEvents, "server");
        return events.stream()
                .filter(
                        event ->
                                hasId(event, id)
                                        || (!event.has("id")
                                                && routers.contains(event.path("vm").asText())
                                                && epochMillis(event)
                                                        >= startMillis - CONTEXT_MILLIS
                                                && epochMillis(event) <= endMillis
                                                && isRelevant(event, servers)))
                .sorted(Comparator.comparingLong(ExplainCommand::epochMillis));
    }

    /** Returns whether the event names no server, or one that the request was sent to. */
    private static boolean isRelevant(JsonNode event, Set<String> servers) {
        return !event.has("server") || servers.contains(event.path("server").asText());
    }

    private static Set<String> distinctValues(List<ObjectNode> events, String field) {
        return events.stream()
                .filter(event -> event.has(field))
                .map(event -> event.path(field).asText())
                .collect(Collectors.toSet());
    }

    private static String format(ObjectNode event, String id, long startMillis) {
        String fields =
                event.properties().stream()
                        .filter(field -> !EXCLUDED_FIELDS.contains(field.getKey()))
                        .map(field -> field.getKey() + "=" + field.getValue().asText())
                        .collect(Collectors.joining(" "));
        return String.format(
                "%+8d ms %s %s %s %s",
                epochMillis(event) - startMillis,
                hasId(event, id) ? " " : "~",
                event.path("vm").asText(),
                event.path("event").asText(),
                fields);
    }
}
