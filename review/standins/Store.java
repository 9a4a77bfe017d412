package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * A stand-in for the platform's metadata store: lists in pages, watches, creates and replaces.
 *
 * <p>All answers are linearizable; {@code at} is the revision at the time of each answer.
 */
final class Store implements AutoCloseable {
    private static final String PATH = "/api/objects/";
    private static final int MAX_PAGE_ITEMS = 500;
    private static final int MAX_PAGE_BYTES = 1_000_000;

    private final HttpServer mServer;
    private final ExecutorService mThreads =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task, "store");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final Map<String, TreeMap<String, Entry>> mKinds = new TreeMap<>();
    private final List<Change> mChanges = new ArrayList<>();
    private long mRevision = 100;
    private volatile Consumer<Call> mOnCall = call -> {};

    /** A call as it arrives, before it is handled. */
    record Call(String method, String kind, Map<String, String> query) {
        boolean nextPageOf(String listed) {
            return method.equals("GET") && kind.equals(listed) && query.containsKey("afterRev");
        }
    }

    private record Entry(String name, long revision, long created, Object spec, Object status) {
        Map<String, Object> json() {
            Map<String, Object> metadata = new LinkedHashMap<>();
            metadata.put("name", name);
            metadata.put("revision", revision);
            metadata.put("created", created);
            metadata.put("finalizers", List.of());
            metadata.put("deletionPending", false);
            Map<String, Object> object = new LinkedHashMap<>();
            object.put("metadata", metadata);
            object.put("spec", spec);
            object.put("status", status);
            return object;
        }
    }

    private record Change(long revision, String kind, Entry entry, boolean deleted) {}

    private record Answer(int status, Object body) {}

    Store(String host) throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(host, 0), 256);
        mServer.createContext(PATH, this::handle);
        mServer.setExecutor(mThreads);
        mServer.start();
    }

    String address() {
        return mServer.getAddress().getHostString() + ":" + mServer.getAddress().getPort();
    }

    /** Calls the observer with each call before it is handled; it may delay the answer. */
    void onCall(Consumer<Call> observer) {
        mOnCall = observer;
    }

    /** Creates or replaces an object; returns when it is in force. */
    synchronized void put(String kind, String name, String spec) {
        Entry known = objects(kind).get(name);
        store(kind, name, Json.parse(spec), known == null ? null : known.status());
    }

    synchronized void delete(String kind, String name) {
        Entry removed = objects(kind).remove(name);
        if (removed != null) {
            record(kind, removed, true);
        }
    }

    synchronized int size(String kind) {
        return objects(kind).size();
    }

    private TreeMap<String, Entry> objects(String kind) {
        return mKinds.computeIfAbsent(kind, name -> new TreeMap<>());
    }

    private Entry store(String kind, String name, Object spec, Object status) {
        Entry known = objects(kind).get(name);
        if (known != null
                && Objects.equals(known.spec(), spec)
                && Objects.equals(known.status(), status)) {
            return known;
        }
        long created = known == null ? mRevision + 1 : known.created();
        Entry entry = new Entry(name, mRevision + 1, created, spec, status);
        objects(kind).put(name, entry);
        record(kind, entry, false);
        return entry;
    }

    private void record(String kind, Entry entry, boolean deleted) {
        mRevision++;
        mChanges.add(new Change(mRevision, kind, entry, deleted));
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        String[] path = exchange.getRequestURI().getPath().substring(PATH.length()).split("/");
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        String body =
                new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        mOnCall.accept(new Call(exchange.getRequestMethod(), path[0], query));
        Answer answer = answer(exchange.getRequestMethod(), path, query, body);
        byte[] bytes = Json.write(answer.body()).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.getResponseHeaders().set("Store-Era", "1");
        exchange.sendResponseHeaders(answer.status(), bytes.length);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(bytes);
        }
    }

    private static Map<String, String> query(String raw) {
        return Arrays.stream((raw == null ? "" : raw).split("&"))
                .map(pair -> pair.split("=", 2))
                .filter(pair -> pair.length == 2)
                .collect(
                        Collectors.toMap(
                                pair -> pair[0],
                                pair -> URLDecoder.decode(pair[1], StandardCharsets.UTF_8)));
    }

    private Answer answer(String method, String[] path, Map<String, String> query, String body) {
        if (method.equals("GET")) {
            if (query.containsKey("watch")) {
                return watch(path[0], query);
            }
            return path.length == 1 ? list(path[0], query) : read(path[0], path[1]);
        }
        return write(method, path, Json.object(Json.parse(body)));
    }

    private synchronized Answer read(String kind, String name) {
        Entry entry = objects(kind).get(name);
        return entry == null ? new Answer(404, Map.of()) : new Answer(200, entry.json());
    }

    private synchronized Answer list(String kind, Map<String, String> query) {
        List<Object> items = new ArrayList<>();
        int bytes = 0;
        boolean more = false;
        String after = query.getOrDefault("afterRev", "");
        for (Entry entry : objects(kind).tailMap(after, false).values()) {
            bytes += Json.write(entry.json()).length();
            if (items.size() == MAX_PAGE_ITEMS || bytes > MAX_PAGE_BYTES) {
                more = true;
                break;
            }
            items.add(entry.json());
        }
        return new Answer(200, page("items", items, more));
    }

    private Map<String, Object> page(String name, List<Object> content, boolean more) {
        Map<String, Object> page = new LinkedHashMap<>();
        page.put(name, content);
        page.put("hasMore", more);
        page.put("at", mRevision);
        return page;
    }

    private synchronized Answer watch(String kind, Map<String, String> query) {
        long since = Long.parseLong(query.get("watch"));
        long deadline =
                System.nanoTime() + 1_000_000 * Long.parseLong(query.getOrDefault("waitMs", "0"));
        while (changes(kind, since).isEmpty() && System.nanoTime() < deadline) {
            try {
                wait(Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        List<Object> events =
                changes(kind, since).stream()
                        .map(
                                change ->
                                        (Object)
                                                Map.of(
                                                        "deleted",
                                                        change.deleted(),
                                                        "object",
                                                        change.entry().json()))
                        .toList();
        return new Answer(200, page("events", events, false));
    }

    private List<Change> changes(String kind, long since) {
        return mChanges.stream()
                .filter(change -> change.revision() > since && change.kind().equals(kind))
                .toList();
    }

    private synchronized Answer write(String method, String[] path, Map<String, Object> body) {
        Map<String, Object> metadata = Json.object(body.get("metadata"));
        String kind = path[0];
        String name = path.length > 1 ? path[1] : String.valueOf(metadata.get("name"));
        Entry known = objects(kind).get(name);
        boolean creates = method.equals("POST");
        if (!creates && known == null) {
            return new Answer(404, Map.of());
        }
        boolean outdated =
                metadata.get("revision") instanceof Json.Number revision
                        && known != null
                        && Long.parseLong(revision.text()) != known.revision();
        if (outdated || (creates && known != null)) {
            return new Answer(409, known.json());
        }
        if (method.equals("DELETE")) {
            delete(kind, name);
            return new Answer(200, known.json());
        }
        boolean ofStatus = path.length > 2 && path[2].equals("status");
        Object spec = ofStatus ? known.spec() : body.get("spec");
        Object knownStatus = known == null ? null : known.status();
        Object status = ofStatus ? body.get("status") : knownStatus;
        Entry entry = store(kind, name, spec, status);
        return new Answer(200, entry.json());
    }

    @Override
    public void close() {
        mServer.stop(0);
        mThreads.shutdownNow();
    }
}
