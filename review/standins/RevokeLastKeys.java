package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** All keys of a small deployment are taken away, one after the other. */
final class RevokeLastKeys implements Cases.Case {
    private static final long REVOKE_MILLIS = 5000;
    private static final long GAP_MILLIS = 1000;
    private static final List<String> KEYS = List.of("key-1", "key-2", "key-3");
    private static final String NEVER_HELD = "key-never-held";

    /** The requests that the replica ran, each with the tenant that it was told. */
    private final Map<String, String> mRuns = new ConcurrentHashMap<>();

    private static String config(int version, int revoked) {
        List<String> left = KEYS.subList(revoked, KEYS.size());
        return """
               {"version":%d,
                "routes":[{"name":"confirm","host":"%s","pathPrefix":"/confirm/",
                 "kind":"non_idempotent","timeoutMs":2000,"targetLatencyMs":300,"priority":2,
                 "service":"despacho","maxAttempts":1,"noAuth":false}],
                "services":[{"name":"despacho","healthPath":"/health","maxConnections":110,
                 "protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],
                "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
                 "headerTimeoutMs":3000,"idleTimeoutMs":15000},
                "tenants":[{"name":"tenant-a","apiKeys":%s,"priority":1},
                 {"name":"tenant-b","apiKeys":%s,"priority":1}]}"""
                .formatted(
                        version,
                        Cases.HOST,
                        Json.write(left.stream().filter(key -> !key.equals("key-3")).toList()),
                        Json.write(left.stream().filter(key -> key.equals("key-3")).toList()));
    }

    @Override
    public boolean run(Cases.World world) throws IOException {
        Replica replica =
                world.add(
                        new Replica(
                                "i-1", "despacho", "lima-norte", "127.0.0.1", this::serve));
        world.store().put("servers", replica.id(), replica.entry("ready", 6));
        world.store().put("config", "main", config(1, 0));
        List<Router> routers =
                List.of(
                        world.router("front-1", "lima-norte"),
                        world.router("front-2", "lima-norte"));
        for (Router router : routers) {
            router.start();
        }
        for (Router router : routers) {
            router.awaitReady();
        }
        Cases.sleep(4000);
        send(world, routers, "before", allKeys());
        long[] acknowledged = new long[KEYS.size()];
        if (world.trouble()) {
            for (int i = 0; i < KEYS.size(); i++) {
                world.store().put("config", "main", config(2 + i, 1 + i));
                acknowledged[i] = world.now();
                world.log("version %d without %s is acknowledged", 2 + i, KEYS.get(i));
                Cases.sleep(GAP_MILLIS);
            }
        }
        Cases.sleep(REVOKE_MILLIS);
        boolean broken = false;
        for (int round = 0; round < 10; round++) {
            broken |= send(world, routers, "after" + round, allKeys());
            Cases.sleep(500);
        }
        return broken;
    }

    private static Collection<String> allKeys() {
        return List.of("key-1", "key-2", "key-3", NEVER_HELD);
    }

    /**
     * Sends a request with each key to each router; returns whether one ran with a key that was
     * taken away long before or was never held.
     */
    private boolean send(
            Cases.World world, List<Router> routers, String round, Collection<String> keys)
            throws IOException {
        boolean broken = false;
        for (Router router : routers) {
            for (String key : keys) {
                String id = round + "-" + router.name() + "-" + key;
                long sentMillis = world.now();
                int status = status(router, id, key);
                String tenant = mRuns.get(id);
                boolean revoked = world.trouble() && round.startsWith("after");
                boolean allowed = !revoked && !key.equals(NEVER_HELD);
                world.log(
                        "%s sent at %d ms with %s: status %d, %s%s",
                        id,
                        sentMillis,
                        key,
                        status,
                        tenant == null ? "not run" : "run for tenant '" + tenant + "'",
                        tenant != null && !allowed ? "  <- must not run" : "");
                broken |= tenant != null && !allowed;
            }
        }
        return broken;
    }

    private static int status(Router router, String id, String key) throws IOException {
        try (Client client = new Client(router.front())) {
            client.write(
                    "POST",
                    "/confirm/7",
                    "Rhubarbward-Attempt-Id: " + id + "\r\nRhubarbward-Deadline-Remaining: 2000\r\n"
                            + "Authorization: Bearer " + key + "\r\n",
                    new byte[600]);
            return client.read(2500, 0).status();
        }
    }

    private void serve(Replica replica, Head request, byte[] body, OutputStream out)
            throws IOException {
        mRuns.put(
                request.field("rhubarbward-attempt-id"),
                request.field("rhubarbward-tenant-name"));
        Replica.answer(request, 200, "", new byte[800], out);
    }
}
