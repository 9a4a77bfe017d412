import java.io.IOException;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** The platform's store: objects by kind and name, lists, watches and conditional writes. */
final class Store {
    private static final String PATH = "/api/objects/";

    private final Server mServer = new Server(this::serve);
    private final Map<String, Map<String, StoredObject>> mKinds = new TreeMap<>();
    private final List<Change> mChanges = new ArrayList<>();
    private long mRevision = 1;

    private record StoredObject(String name, long revision, String spec, String status) {
        String json() {
            return "{\"metadata\":{\"name\":\""
                    + name
                    + "\",\"revision\":"
                    + revision
                    + ",\"created\":1,\"finalizers\":[],\"deletionPending\":false},\"spec\":"
                    + spec
                    + ",\"status\":"
                    + status
                    + "}";
        }
    }

    private record Change(long revision, String kind, StoredObject object, boolean deleted) {
        String json() {
            return "{\"deleted\":" + deleted + ",\"object\":" + object.json() + "}";
        }
    }

    void open() {
        mServer.open();
    }

    String address() {
        return mServer.address();
    }

    /** Creates or replaces an object. */
    synchronized void put(String kind, String name, String spec) {
        StoredObject known = objects(kind).get(name);
        store(kind, name, spec, known == null ? "null" : known.status());
    }

    synchronized void delete(String kind, String name) {
        StoredObject known = objects(kind).remove(name);
        if (known != null) {
            mChanges.add(new Change(++mRevision, kind, known, true));
            notifyAll();
        }
    }

    /** Returns the names of the kind's objects. */
    synchronized List<String> names(String kind) {
        return List.copyOf(objects(kind).keySet());
    }

    private Map<String, StoredObject> objects(String kind) {
        return mKinds.computeIfAbsent(kind, unused -> new TreeMap<>());
    }

    private StoredObject store(String kind, String name, String spec, String status) {
        StoredObject known = objects(kind).get(name);
        if (known != null && known.spec().equals(spec) && known.status().equals(status)) {
            return known;
        }
        StoredObject stored = new StoredObject(name, ++mRevision, spec, status);
        objects(kind).put(name, stored);
        mChanges.add(new Change(mRevision, kind, stored, false));
        notifyAll();
        return stored;
    }

    private void serve(Socket connection) throws IOException {
        for (HttpMessage request = HttpMessage.readRequest(connection.getInputStream());
                request != null;
                request = HttpMessage.readRequest(connection.getInputStream())) {
            Answer answer = answer(request);
            connection
                    .getOutputStream()
                    .write(
                            HttpMessage.bytes(
                                    "HTTP/1.1 " + answer.status() + " X",
                                    List.of("Content-Type: application/json"),
                                    answer.body().getBytes(StandardCharsets.UTF_8)));
        }
    }

    private record Answer(int status, String body) {}

    private Answer answer(HttpMessage request) {
        String target = request.target();
        int question = target.indexOf('?');
        String path = question < 0 ? target : target.substring(0, question);
        Map<String, String> query = query(question < 0 ? "" : target.substring(question + 1));
        if (!path.startsWith(PATH)) {
            return new Answer(404, "{}");
        }
        String[] parts = path.substring(PATH.length()).split("/");
        String name = parts.length > 1 ? decode(parts[1]) : "";
        if (request.method().equals("GET")) {
            return name.isEmpty() ? listOrWatch(parts[0], query) : one(parts[0], name);
        }
        String body = new String(request.body, StandardCharsets.UTF_8);
        return change(request.method(), parts, name, body.isEmpty() ? "{}" : body, query);
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                query.put(pair.substring(0, equals), decode(pair.substring(equals + 1)));
            }
        }
        return query;
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    private synchronized Answer one(String kind, String name) {
        StoredObject object = objects(kind).get(name);
        return object == null ? new Answer(404, "{}") : new Answer(200, object.json());
    }

    private synchronized Answer listOrWatch(String kind, Map<String, String> query) {
        if (!query.containsKey("watch")) {
            String items =
                    objects(kind).values().stream()
                            .map(StoredObject::json)
                            .collect(Collectors.joining(","));
            return new Answer(
                    200, "{\"items\":[" + items + "],\"hasMore\":false,\"at\":" + mRevision + "}");
        }
        long since = Long.parseLong(query.get("watch"));
        long until = Record.now() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        while (changes(kind, since).isEmpty() && Record.now() < until) {
            try {
                wait(Math.max(1, until - Record.now()));
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
        String events =
                changes(kind, since).stream().map(Change::json).collect(Collectors.joining(","));
        return new Answer(200, "{\"events\":[" + events + "],\"at\":" + mRevision + "}");
    }

    private List<Change> changes(String kind, long since) {
        List<Change> changes = new ArrayList<>();
        for (int i = mChanges.size() - 1; i >= 0 && mChanges.get(i).revision() > since; i--) {
            if (mChanges.get(i).kind().equals(kind)) {
                changes.add(0, mChanges.get(i));
            }
        }
        return changes;
    }

    private synchronized Answer change(
            String method,
            String[] parts,
            String pathName,
            String body,
            Map<String, String> query) {
        String kind = parts[0];
        Map<String, String> members = Json.members(body);
        Map<String, String> metadata = Json.members(members.getOrDefault("metadata", "{}"));
        String name = pathName.isEmpty() ? Json.string(metadata.get("name")) : pathName;
        StoredObject known = objects(kind).get(name);
        if (method.equals("POST")) {
            return known != null
                    ? new Answer(409, known.json())
                    : new Answer(
                            201,
                            store(kind, name, members.getOrDefault("spec", "null"), "null").json());
        }
        if (known == null) {
            return new Answer(404, "{}");
        }
        String condition = metadata.getOrDefault("revision", query.get("revision"));
        if (condition != null && Long.parseLong(condition) != known.revision()) {
            return new Answer(409, known.json());
        }
        if (method.equals("DELETE")) {
            delete(kind, name);
            return new Answer(200, known.json());
        }
        boolean status = parts.length > 2 && parts[2].equals("status");
        return new Answer(
                200,
                store(
                                kind,
                                name,
                                status ? known.spec() : members.getOrDefault("spec", "null"),
                                status ? members.getOrDefault("status", "null") : known.status())
                        .json());
    }
}
