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

/**
 * Stands in for the platform's metadata store: lists, watches, creations and replacements.
 *
 * <p>All calls come on the timer service's thread.
 */
public final class StoreStandin implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String PREFIX = "/api/objects/";
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int UNAVAILABLE = 503;

    private final TimerService mTimers;
    private final HttpListener mListener;
    private final Map<String, Map<String, ObjectNode>> mObjects = new TreeMap<>();
    private final List<Event> mHistory = new ArrayList<>();
    private final List<Watch> mWatches = new ArrayList<>();
    private long mRevision = 1;
    private long mForgotten;
    private boolean mDown;

    /** Listens at the address; port 0 takes a free one. */
    public StoreStandin(EventLoopGroup group, InetSocketAddress address, TimerService timers) {
        mTimers = timers;
        mListener =
                HttpListener.open(group, address, timers, () -> HttpLimits.INTERNAL, this::handle);
    }

    /** Returns host and port. */
    public String address() {
        return "127.0.0.1:" + mListener.port();
    }

    /** Answers nothing but 503 until told otherwise. */
    public void down(boolean down) {
        mTimers.execute(() -> mDown = down);
    }

    /** Forgets what has changed so far, as a store does that compacts its history. */
    public void compact() {
        mTimers.execute(
                () -> {
                    mForgotten = mRevision;
                    mHistory.clear();
                });
    }

    /** Writes an object as the operator or a replica would. */
    public void put(String kind, String name, String spec) {
        ObjectNode object = MAPPER.createObjectNode();
        try {
            object.set("spec", MAPPER.readTree(spec));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("expected JSON: " + spec, e);
        }
        mTimers.execute(() -> store(kind, name, object));
    }

    /** Deletes an object. */
    public void delete(String kind, String name) {
        mTimers.execute(
                () ->
                        Optional.ofNullable(objects(kind).remove(name))
                                .ifPresent(gone -> record(kind, gone, true)));
    }

    private void store(String kind, String name, ObjectNode object) {
        ObjectNode metadata = MAPPER.createObjectNode().put("name", name);
        metadata.put("revision", mRevision + 1);
        object.set("metadata", metadata);
        objects(kind).put(name, object);
        record(kind, object, false);
    }

    private Map<String, ObjectNode> objects(String kind) {
        return mObjects.computeIfAbsent(kind, any -> new TreeMap<>());
    }

    private void record(String kind, ObjectNode object, boolean deleted) {
        mRevision++;
        mHistory.add(new Event(mRevision, kind, object, deleted));
        List<Watch> due = mWatches.stream().filter(watch -> watch.kind().equals(kind)).toList();
        mWatches.removeAll(due);
        due.forEach(this::answer);
    }

    private CallerListener handle(CallerRequest request, CallerResponse response) {
        if (mDown || !request.path().startsWith(PREFIX)) {
            return JsonResponses.send(response, mDown ? UNAVAILABLE : NOT_FOUND, Map.of());
        }
        String[] path = request.path().substring(PREFIX.length()).split("/");
        Map<String, String> query = query(request.target());
        if (request.method().equals("POST")) {
            return create(path[0], body(request), response);
        }
        if (query.containsKey("watch")) {
            return watch(path[0], query, response);
        }
        ObjectNode page = MAPPER.createObjectNode().put("hasMore", false).put("at", mRevision);
        ArrayNode items = page.putArray("items");
        objects(path[0]).values().forEach(items::add);
        return JsonResponses.send(response, OK, page);
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        String text = target.contains("?") ? target.substring(target.indexOf('?') + 1) : "";
        Arrays.stream(text.split("&"))
                .map(pair -> pair.split("=", 2))
                .filter(pair -> pair.length == 2)
                .forEach(pair -> query.put(pair[0], pair[1]));
        return query;
    }

    private static JsonNode body(CallerRequest request) {
        try {
            return MAPPER.readTree(StandardCharsets.UTF_8.decode(request.body()).toString());
        } catch (JsonProcessingException e) {
            return MAPPER.createObjectNode();
        }
    }

    private CallerListener create(String kind, JsonNode body, CallerResponse response) {
        String name = body.path("metadata").path("name").asText();
        if (objects(kind).containsKey(name)) {
            return JsonResponses.send(response, CONFLICT, Map.of());
        }
        ObjectNode object = MAPPER.createObjectNode();
        object.set("spec", body.path("spec"));
        store(kind, name, object);
        return JsonResponses.send(response, OK, object);
    }

    private CallerListener watch(String kind, Map<String, String> query, CallerResponse response) {
        long from = Long.parseLong(query.get("watch"));
        if (from < mForgotten) {
            return JsonResponses.send(response, GONE, Map.of());
        }
        Watch watch = new Watch(kind, from, response);
        if (events(watch).isEmpty()) {
            mWatches.add(watch);
            mTimers.after(
                    Duration.ofMillis(Long.parseLong(query.getOrDefault("waitMs", "0"))),
                    () -> {
                        if (mWatches.remove(watch)) {
                            answer(watch);
                        }
                    });
            return JsonResponses.NO_OP_LISTENER;
        }
        answer(watch);
        return JsonResponses.NO_OP_LISTENER;
    }

    private List<Event> events(Watch watch) {
        return mHistory.stream()
                .filter(event -> event.kind().equals(watch.kind()))
                .filter(event -> event.revision() > watch.from())
                .toList();
    }

    private void answer(Watch watch) {
        ObjectNode answer = MAPPER.createObjectNode().put("at", mRevision);
        ArrayNode events = answer.putArray("events");
        events(watch)
                .forEach(
                        event ->
                                events.addObject()
                                        .put("deleted", event.deleted())
                                        .set("object", event.object()));
        JsonResponses.send(watch.response(), OK, answer);
    }

    @Override
    public void close() {
        mListener.close();
    }

    /** A change that the store remembers. */
    private record Event(long revision, String kind, ObjectNode object, boolean deleted) {}

    /** A watch that waits. */
    private record Watch(String kind, long from, CallerResponse response) {}
}
