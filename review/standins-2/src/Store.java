import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A stand-in for the platform's metadata store, as PROTOCOL.md describes it: objects by kind and
 * name, lists in one page, watches, conditional writes, one revision counter.
 */
final class Store implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** How long changes are kept: historyS in the settings. */
    private static final long HISTORY_NANOS = 20_000_000_000L;

    private final ServerSocket mServer;
    private final Map<String, Map<String, ObjectNode>> mObjects = new TreeMap<>();
    private final List<Change> mChanges = new ArrayList<>();
    private final Set<Socket> mWaiting = new HashSet<>();
    private final Map<String, Integer> mCalls = new TreeMap<>();
    private long mRevision = 100;
    private long mForgottenRevision;

    private record Change(
            long revision, String kind, ObjectNode object, boolean deleted, long atNanos) {}

    Store(String ip) throws IOException {
        mServer = new ServerSocket(0, 200, InetAddress.getByName(ip));
        Threads.start("store", this::accept);
    }

    String address() {
        return mServer.getInetAddress().getHostAddress() + ":" + mServer.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = mServer.accept();
            socket.setTcpNoDelay(true);
            Threads.start("store-connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            InputStream in = Http.buffered(socket.getInputStream());
            for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
                answer(socket, call);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void answer(Socket socket, Http.Message call)
            throws IOException, InterruptedException {
        String target = call.target();
        int mark = target.indexOf('?');
        String path = mark < 0 ? target : target.substring(0, mark);
        Map<String, String> query = query(mark < 0 ? "" : target.substring(mark + 1));
        String[] names = path.substring("/api/objects/".length()).split("/");
        for (int i = 0; i < names.length; i++) {
            names[i] = URLDecoder.decode(names[i], StandardCharsets.UTF_8);
        }
        synchronized (this) {
            mCalls.merge(call.method() + " " + names[0], 1, Integer::sum);
        }
        switch (call.method()) {
            case "GET" -> {
                if (query.containsKey("watch")) {
                    watch(socket, names[0], query);
                } else if (names.length > 1) {
                    one(socket, names[0], names[1]);
                } else {
                    list(socket, names[0]);
                }
            }
            case "POST" -> create(socket, names[0], MAPPER.readTree(call.body()));
            case "PUT" -> replace(socket, names, MAPPER.readTree(call.body()));
            case "DELETE" -> {
                delete(names[0], names[1]);
                send(socket, 200, MAPPER.createObjectNode());
            }
            default -> send(socket, 405, MAPPER.createObjectNode());
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                query.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        return query;
    }

    private void watch(Socket socket, String kind, Map<String, String> query)
            throws IOException, InterruptedException {
        long since = Long.parseLong(query.get("watch"));
        long end = System.nanoTime() + 1_000_000 * Long.parseLong(query.getOrDefault("waitMs", "0"));
        ObjectNode answer;
        synchronized (this) {
            forgetOldChanges();
            if (since < mForgottenRevision) {
                send(socket, 410, null);
                return;
            }
            mWaiting.add(socket);
            long left = (end - System.nanoTime()) / 1_000_000;
            while (left > 0 && events(kind, since).isEmpty()) {
                wait(left);
                left = (end - System.nanoTime()) / 1_000_000;
            }
            mWaiting.remove(socket);
            answer = MAPPER.createObjectNode().put("at", mRevision);
            answer.set("events", events(kind, since));
        }
        send(socket, 200, answer);
    }

    private void forgetOldChanges() {
        while (!mChanges.isEmpty()
                && System.nanoTime() - mChanges.get(0).atNanos() > HISTORY_NANOS) {
            mForgottenRevision = mChanges.remove(0).revision();
        }
    }

    private ArrayNode events(String kind, long since) {
        ArrayNode events = MAPPER.createArrayNode();
        for (Change change : mChanges) {
            if (change.kind().equals(kind) && change.revision() > since) {
                events.addObject()
                        .put("deleted", change.deleted())
                        .set("object", change.object());
            }
        }
        return events;
    }

    private void one(Socket socket, String kind, String name) throws IOException {
        ObjectNode object;
        synchronized (this) {
            object = objects(kind).get(name);
        }
        send(socket, object == null ? 404 : 200, object);
    }

    private void list(Socket socket, String kind) throws IOException {
        ObjectNode page = MAPPER.createObjectNode().put("hasMore", false);
        synchronized (this) {
            page.put("at", mRevision);
            objects(kind).values().forEach(page.putArray("items")::add);
        }
        send(socket, 200, page);
    }

    private void create(Socket socket, String kind, JsonNode body) throws IOException {
        String name = body.path("metadata").path("name").asText();
        ObjectNode object;
        boolean known;
        synchronized (this) {
            known = objects(kind).containsKey(name);
            object = known ? objects(kind).get(name) : write(kind, name, body.path("spec"), null);
        }
        send(socket, known ? 409 : 200, object);
    }

    private void replace(Socket socket, String[] names, JsonNode body) throws IOException {
        ObjectNode object;
        int status;
        synchronized (this) {
            object = objects(names[0]).get(names[1]);
            JsonNode wanted = body.path("metadata").path("revision");
            if (object == null) {
                status = 404;
            } else if (wanted.isNumber()
                    && wanted.asLong() != object.path("metadata").path("revision").asLong()) {
                status = 409;
            } else {
                status = 200;
                boolean ofStatus = names.length > 2;
                JsonNode spec = ofStatus ? object.path("spec") : body.path("spec");
                JsonNode state = ofStatus ? body.path("status") : object.path("status");
                if (!spec.equals(object.path("spec")) || !state.equals(object.path("status"))) {
                    object = write(names[0], names[1], spec, state);
                }
            }
        }
        send(socket, status, object);
    }

    private ObjectNode write(String kind, String name, JsonNode spec, JsonNode status) {
        mRevision++;
        ObjectNode object = MAPPER.createObjectNode();
        object.putObject("metadata").put("name", name).put("revision", mRevision);
        object.set("spec", spec);
        if (status != null && !status.isMissingNode()) {
            object.set("status", status);
        }
        objects(kind).put(name, object);
        mChanges.add(new Change(mRevision, kind, object, false, System.nanoTime()));
        notifyAll();
        return object;
    }

    /** Writes an object as the operator or a replica does; returns when it is acknowledged. */
    synchronized void put(String kind, String name, String spec) {
        try {
            write(kind, name, MAPPER.readTree(spec), objects(kind).containsKey(name)
                    ? objects(kind).get(name).path("status")
                    : null);
        } catch (IOException e) {
            throw new IllegalArgumentException(spec, e);
        }
    }

    synchronized void delete(String kind, String name) {
        ObjectNode object = objects(kind).remove(name);
        if (object != null) {
            mRevision++;
            mChanges.add(new Change(mRevision, kind, object, true, System.nanoTime()));
            notifyAll();
        }
    }

    synchronized String status(String kind, String name) {
        ObjectNode object = objects(kind).get(name);
        return object == null ? "" : object.path("status").toString();
    }

    synchronized Set<String> names(String kind) {
        return new HashSet<>(objects(kind).keySet());
    }

    /** Cuts off the watches that are waiting. */
    synchronized int cutWatches() throws IOException {
        for (Socket socket : mWaiting) {
            socket.close();
        }
        return mWaiting.size();
    }

    synchronized Map<String, Integer> calls() {
        return new TreeMap<>(mCalls);
    }

    private Map<String, ObjectNode> objects(String kind) {
        return mObjects.computeIfAbsent(kind, ignored -> new TreeMap<>());
    }

    private void send(Socket socket, int status, JsonNode body) throws IOException {
        byte[] bytes = body == null ? Http.bytes("{}") : MAPPER.writeValueAsBytes(body);
        OutputStream out = socket.getOutputStream();
        byte[] head =
                Http.bytes(
                        "HTTP/1.1 "
                                + status
                                + " S\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                                + "Content-Length: "
                                + bytes.length
                                + "\r\n\r\n");
        byte[] whole = new byte[head.length + bytes.length];
        System.arraycopy(head, 0, whole, 0, head.length);
        System.arraycopy(bytes, 0, whole, head.length, bytes.length);
        out.write(whole);
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }
}
