package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A router gets SIGTERM while a client on a slow link takes a long answer. */
final class SlowReader implements Cases.Case {
    private static final List<Integer> ANSWER_BYTES = List.of(7_000_000, 8_000_000, 9_000_000);
    private static final int BYTES_PER_SECOND = 850_000;
    private static final int WINDOW_BYTES = 32_768;
    private static final long TERMINATE_AFTER_MILLIS = 500;
    private static final int TIMEOUT_MILLIS = 14_000;

    private static final String CONFIG =
            """
            {"version":1,
             "routes":[{"name":"report","host":"%s","pathPrefix":"/report/",
              "kind":"idempotent","timeoutMs":%d,"targetLatencyMs":300,"priority":2,
              "service":"despacho","maxAttempts":2,"noAuth":true}],
             "services":[{"name":"despacho","healthPath":"/health","maxConnections":110,
              "protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
              "headerTimeoutMs":3000,"idleTimeoutMs":15000}}"""
                    .formatted(Cases.HOST, TIMEOUT_MILLIS);

    private final AtomicInteger mCut = new AtomicInteger();

    @Override
    public boolean run(Cases.World world) throws IOException {
        Replica replica =
                world.add(
                        new Replica(
                                "i-1",
                                "despacho",
                                "lima-norte",
                                "127.0.0.1",
                                (own, request, body, out) -> serve(world, request, out)));
        world.store().put("servers", replica.id(), replica.entry("ready", 6));
        world.store().put("config", "main", CONFIG);
        Router router = world.router("front-1", "lima-norte");
        router.start();
        router.awaitReady();
        Cases.sleep(3500);
        List<Thread> clients =
                ANSWER_BYTES.stream()
                        .map(bytes -> Cases.start(() -> request(world, router, bytes)))
                        .toList();
        Cases.sleep(TERMINATE_AFTER_MILLIS);
        if (world.trouble()) {
            router.terminate();
            world.log("SIGTERM to the router");
        }
        boolean ended = false;
        while (clients.stream().anyMatch(Thread::isAlive)) {
            if (!ended && !router.alive()) {
                ended = true;
                world.log("the router's process has ended");
            }
            Cases.sleep(20);
        }
        return mCut.get() > 0;
    }

    private void request(Cases.World world, Router router, int bytes) {
        long sentMillis = world.now();
        try (Client client = new Client(router.front(), WINDOW_BYTES)) {
            client.write(
                    "GET",
                    "/report/" + bytes,
                    "Rhubarbward-Attempt-Id: a-" + bytes
                            + "\r\nRhubarbward-Deadline-Remaining: " + TIMEOUT_MILLIS + "\r\n",
                    new byte[0]);
            world.log("a-%d sent", bytes);
            Client.Answer answer = client.read(TIMEOUT_MILLIS, BYTES_PER_SECOND);
            world.log(
                    "the client of a-%d after %d ms: status %d, %d bytes, %s",
                    bytes,
                    world.now() - sentMillis,
                    answer.status(),
                    answer.body().length,
                    answer.whole() ? "whole" : answer.broken());
            mCut.addAndGet(answer.whole() ? 0 : 1);
        } catch (IOException e) {
            world.log("the client of a-%d: %s", bytes, e);
        }
    }

    private static void serve(Cases.World world, Head request, OutputStream out)
            throws IOException {
        String id = request.field("rhubarbward-attempt-id");
        world.log("the replica runs %s", id);
        String bytes = request.target().substring(request.target().lastIndexOf('/') + 1);
        Replica.answer(request, 200, "", new byte[Integer.parseInt(bytes)], out);
        world.log("the replica has written its whole answer to %s", id);
    }
}
