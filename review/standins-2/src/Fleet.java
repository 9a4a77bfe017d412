import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** A store, replicas and routers on loopback addresses, in a temporary folder. */
final class Fleet implements AutoCloseable {
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String HOST = "ficu95.example";

    final Record record;
    final Store store;
    final Path folder;
    final List<Router> routers = new ArrayList<>();
    private final String mNetwork;
    private int mNextIp = 10;

    Fleet(Path recordFile) throws IOException {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        mNetwork = "127." + random.nextInt(20, 250) + "." + random.nextInt(1, 250) + ".";
        folder = Files.createTempDirectory("review-2-");
        record = new Record(recordFile);
        store = new Store(nextIp());
    }

    String nextIp() {
        return mNetwork + mNextIp++;
    }

    Replica replica(String id, String service, String zone, Replica.Handler handler)
            throws IOException {
        Replica replica = new Replica(id, nextIp(), record, handler);
        store.put("servers", id, replica.entry(service, zone, "v1", "ready", 1));
        return replica;
    }

    Router router(String name, String zone) throws IOException {
        return router(name, zone, store.address());
    }

    Router router(String name, String zone, String storeAddress) throws IOException {
        Router router = new Router(name, zone, nextIp(), storeAddress, folder, Map.of());
        routers.add(router);
        router.start();
        return router;
    }

    /** Returns a request of the client, without a body, as DEPLOY.md and PROTOCOL.md show it. */
    static String request(String method, String path, String id, int deadlineMillis) {
        return method
                + " "
                + path
                + " HTTP/1.1\r\nHost: "
                + HOST
                + "\r\nRhubarbward-Attempt-Id: "
                + id
                + "\r\nRhubarbward-Deadline-Remaining: "
                + deadlineMillis
                + "\r\nAuthorization: Bearer "
                + KEY
                + "\r\n";
    }

    /** Writes a configuration with a plain service and an engine service. */
    void configure(int version) {
        store.put("config", "main", config(version));
    }

    static String config(int version) {
        return """
                {"version":%d,
                 "routes":[
                  {"name":"order","host":"ficu95.example","pathPrefix":"/order/",
                   "kind":"non_idempotent","timeoutMs":4000,"targetLatencyMs":300,
                   "service":"despacho","maxAttempts":1,"priority":2},
                  {"name":"status","host":"ficu95.example","pathPrefix":"/status/",
                   "kind":"idempotent","timeoutMs":4000,"targetLatencyMs":300,
                   "service":"despacho","maxAttempts":2,"priority":2},
                  {"name":"chat","host":"ficu95.example","pathPrefix":"/chat/",
                   "kind":"streaming","timeoutMs":12000,"targetLatencyMs":500,"gapTargetMs":250,
                   "service":"asistente","maxAttempts":1,"priority":1,"sessionAffinity":true}],
                 "services":[
                  {"name":"despacho","healthPath":"/health","maxConnections":110,
                   "coldStartS":0,"coldPerS":0},
                  {"name":"asistente","healthPath":"/health","maxConnections":370,
                   "coldStartS":3.0,"coldPerS":20.0,
                   "engine":{"slots":64,"kvCapacityTokens":813414}}],
                 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
                  "headerTimeoutMs":3000,"idleTimeoutMs":15000},
                 "tenants":[{"name":"hule930","apiKeys":["%s"]}]}
                """
                .formatted(version, KEY);
    }

    /** Sends a request and records its answer; the status is 0 if there is none. */
    int send(Router router, String method, String path, String id, int timeoutMillis) {
        return send(router, method, path, id, timeoutMillis, "");
    }

    /** Sends a request with a body and records its answer; the status is 0 if there is none. */
    int send(
            Router router,
            String method,
            String path,
            String id,
            int timeoutMillis,
            String body) {
        String head = request(method, path, id, timeoutMillis);
        String length = method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n";
        record.line("sent " + id + " to " + router.name() + ": " + method + " " + path);
        try {
            Http.Message answer = router.send(head + length + "\r\n" + body, timeoutMillis);
            if (answer == null) {
                record.line("answer of " + id + ": none, the connection was closed");
                return 0;
            }
            record.line("answer of " + id + ": " + answer.status() + " " + answer.text());
            return answer.status();
        } catch (IOException e) {
            record.line("answer of " + id + ": none, " + e);
            return 0;
        }
    }

    @Override
    public void close() {
        routers.forEach(Router::close);
    }
}
