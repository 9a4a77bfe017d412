package io.rhubarbward.standin.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.rhubarbward.net.http.HttpLimits;
import io.rhubarbward.net.http.HttpListener;
import io.rhubarbward.net.http.JsonResponses;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.timer.TimerService;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * A simulated metadata store of the platform: keeps objects by kind and name in memory and serves
 * lists, watches and creations over HTTP. A list is always a single page.
 *
 * <p>Requests are handled on the timer service's thread; the public methods may be called on any
 * thread.
 */
public final class StoreStandin implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String OBJECTS_PATH = "/api/objects/";
    private static final String ERA_HEADER = "store-era";
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;

    /** Path segments of a call for one object: its kind and its name. */
    private static final int NAMED_OBJECT = 2;

    private static final int GONE = 410;
    private static final int UNAVAILABLE = 503;

    private final TimerService mTimers;
    private final HttpListener mListener;
    private final Map<String, Map<String, ObjectNode>> mObjects = new TreeMap<>();
    private final List<Change> mChanges = new ArrayList<>();
    private final List<Watch> mPendingWatches = new ArrayList<>();
    private long mEra = 1;
    private long mRevision = 1;
    private Copy mCopy = new Copy(1, Map.of());
    private long mCompactedRevision;
    private boolean mDown;

    /** Starts to listen on the address; port 0 selects a free port. */
    public StoreStandin(EventLoopGroup group, InetSocketAddress address, TimerService timers) {
        mTimers = timers;
        mListener =
                HttpListener.open(group, address, timers, () -> HttpLimits.INTERNAL, this::handle);
    }

    /** Returns the address to connect to, as {@code host:port}. */
    public String address() {
        return "127.0.0.1:" + mListener.port();
    }

    /**
     * Sets whether the store is down. While it is, it answers every new request with 503; watches
     * that are already waiting are answered as usual.
     */
    public void down(boolean down) {
        mTimers.execute(() -> mDown = down);
    }

    /**
     * Drops the history of changes, as a store does that compacts it. A later watch from a revision
     * before the current one is answered with 410.
     */
    public void compact() {
        mTimers.execute(
                () -> {
                    mCompactedRevision = mRevision;
                    mChanges.clear();
                });
    }

    /** Copies the current state, for {@link #restore}. */
    public void copy() {
        mTimers.execute(
                () -> {
                    Map<String, Map<String, ObjectNode>> objects = new TreeMap<>();
                    mObjects.forEach((kind, byName) -> objects.put(kind, Map.copyOf(byName)));
                    mCopy = new Copy(mRevision, objects);
                });
    }

    /**
     * Goes back to the last copy, as a store does that is restored: a new era begins, later changes
     * are gone, their revisions are assigned again, and the connections of waiting watches end.
     */
    public void restore() {
        mTimers.execute(
                () -> {
                    mEra++;
                    mRevision = mCopy.revision();
                    mChanges.removeIf(change -> change.revision() > mRevision);
                    mObjects.clear();
                    mCopy.objects()
                            .forEach((kind, byName) -> mObjects.put(kind, new TreeMap<>(byName)));
                    mPendingWatches.forEach(watch -> watch.response().abort());
                    mPendingWatches.clear();
                });
    }

    /**
     * Creates or replaces an object, as an operator or a replica would.
     *
     * @param kind the object's kind, such as {@code servers}
     * @param name the object's name, unique in its kind
     * @param spec the object's content, as JSON
     */
    public void put(String kind, String name, String spec) {
        ObjectNode object = MAPPER.createObjectNode();
        try {
            object.set("spec", MAPPER.readTree(spec));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("the object's spec is not valid JSON: " + spec, e);
        }
        mTimers.execute(() -> putObject(kind, name, object));
    }

    /** Completes with the object's content as JSON, or with "" if there is no such object. */
    public CompletableFuture<String> spec(String kind, String name) {
        return CompletableFuture.supplyAsync(
                () ->
                        Optional.ofNullable(objects(kind).get(name))
                                .map(object -> object.path("spec").toString())
                                .orElse(""),
                mTimers);
    }

    /** Deletes an object; does nothing if there is no such object. */
    public void delete(String kind, String name) {
        mTimers.execute(
                () ->
                        Optional.ofNullable(objects(kind).remove(name))
                                .ifPresent(removed -> recordChange(kind, removed, true)));
    }

    private void putObject(String kind, String name, ObjectNode object) {
        ObjectNode metadata = MAPPER.createObjectNode().put("name", name);
        metadata.put("revision", mRevision + 1);
        object.set("metadata", metadata);
        objects(kind).put(name, object);
        recordChange(kind, object, false);
    }

    private Map<String, ObjectNode> objects(String kind) {
        return mObjects.computeIfAbsent(kind, ignored -> new TreeMap<>());
    }

    private void recordChange(String kind, ObjectNode object, boolean deleted) {
        mRevision++;
        mChanges.add(new Change(mRevision, kind, object, deleted));
        List<Watch> answerable =
                mPendingWatches.stream().filter(watch -> watch.kind().equals(kind)).toList();
        mPendingWatches.removeAll(answerable);
        answerable.forEach(this::answer);
    }

    private CallerListener reply(CallerResponse response, int status, Object value) {
        return JsonResponses.send(
                response, status, HeaderFields.of(ERA_HEADER, Long.toString(mEra)), value);
    }

    private CallerListener handle(CallerRequest request, CallerResponse response) {
        if (mDown || !request.path().startsWith(OBJECTS_PATH)) {
            return reply(response, mDown ? UNAVAILABLE : NOT_FOUND, Map.of());
        }
        String[] path = request.path().substring(OBJECTS_PATH.length()).split("/");
        Map<String, String> query = parseQuery(request.target());
        if (request.method().equals("POST")) {
            return create(path[0], parseBody(request), response);
        }
        if (request.method().equals("PUT") && path.length == NAMED_OBJECT) {
            return replace(path[0], path[1], parseBody(request), response);
        }
        if (query.containsKey("watch")) {
            return watch(path[0], query, response);
        }
        ObjectNode page = MAPPER.createObjectNode().put("hasMore", false).put("at", mRevision);
        ArrayNode items = page.putArray("items");
        objects(path[0]).values().forEach(items::add);
        return reply(response, OK, page);
    }

    private static Map<String, String> parseQuery(String target) {
        Map<String, String> query = new HashMap<>();
        String text = target.contains("?") ? target.substring(target.indexOf('?') + 1) : "";
        Arrays.stream(text.split("&"))
                .map(pair -> pair.split("=", 2))
                .filter(pair -> pair.length == 2)
                .forEach(pair -> query.put(pair[0], pair[1]));
        return query;
    }

    private static JsonNode parseBody(CallerRequest request) {
        try {
            return MAPPER.readTree(StandardCharsets.UTF_8.decode(request.body()).toString());
        } catch (JsonProcessingException e) {
            return MAPPER.createObjectNode();
        }
    }

    private CallerListener create(String kind, JsonNode body, CallerResponse response) {
        String name = body.path("metadata").path("name").asText();
        if (objects(kind).containsKey(name)) {
            return reply(response, CONFLICT, Map.of());
        }
        ObjectNode object = MAPPER.createObjectNode();
        object.set("spec", body.path("spec"));
        putObject(kind, name, object);
        return reply(response, OK, object);
    }

    private CallerListener replace(
            String kind, String name, JsonNode body, CallerResponse response) {
        ObjectNode known = objects(kind).get(name);
        if (known == null) {
            return reply(response, NOT_FOUND, Map.of());
        }
        if (known.path("spec").equals(body.path("spec"))) {
            return reply(response, OK, known);
        }
        ObjectNode object = known.deepCopy();
        object.set("spec", body.path("spec"));
        putObject(kind, name, object);
        return reply(response, OK, object);
    }

    private CallerListener watch(String kind, Map<String, String> query, CallerResponse response) {
        long afterRevision = Long.parseLong(query.get("watch"));
        if (afterRevision < mCompactedRevision || afterRevision > mRevision) {
            return reply(response, GONE, Map.of());
        }
        Watch watch = new Watch(kind, afterRevision, response);
        if (changesFor(watch).isEmpty()) {
            mPendingWatches.add(watch);
            mTimers.after(
                    Duration.ofMillis(Long.parseLong(query.getOrDefault("waitMs", "0"))),
                    () -> {
                        if (mPendingWatches.remove(watch)) {
                            answer(watch);
                        }
                    });
            return JsonResponses.NO_OP_LISTENER;
        }
        answer(watch);
        return JsonResponses.NO_OP_LISTENER;
    }

    private List<Change> changesFor(Watch watch) {
        return mChanges.stream()
                .filter(change -> change.kind().equals(watch.kind()))
                .filter(change -> change.revision() > watch.afterRevision())
                .toList();
    }

    private void answer(Watch watch) {
        ObjectNode answer = MAPPER.createObjectNode().put("at", mRevision);
        ArrayNode events = answer.putArray("events");
        changesFor(watch)
                .forEach(
                        change ->
                                events.addObject()
                                        .put("deleted", change.deleted())
                                        .set("object", change.object()));
        reply(watch.response(), OK, answer);
    }

    @Override
    public void close() {
        mListener.close();
    }

    /**
     * A copy of the state.
     *
     * @param revision the store's revision at the time of the copy
     * @param objects the objects by kind and name
     */
    private record Copy(long revision, Map<String, Map<String, ObjectNode>> objects) {}

    /**
     * A write or deletion in the history.
     *
     * @param revision the store's revision after the change
     * @param kind the object's kind
     * @param object the object as written, or as it was before its deletion
     * @param deleted whether the object was deleted
     */
    private record Change(long revision, String kind, ObjectNode object, boolean deleted) {}

    /**
     * A request for the changes after a revision.
     *
     * @param kind the kind of the watched objects
     * @param afterRevision the revision after which changes are sent
     * @param response the response that the changes are sent to
     */
    private record Watch(String kind, long afterRevision, CallerResponse response) {}
}
