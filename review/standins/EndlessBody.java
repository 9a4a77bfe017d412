package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica sends a body without end, while a client on a slow link takes it. */
final class EndlessBody implements Cases.Case {
    private static final int REPLICA_BYTES_PER_SECOND = 25_000_000;
    private static final int CLIENT_BYTES_PER_SECOND = 1_000_000;
    private static final int REPORT_TIMEOUT_MILLIS = 12_000;
    private static final int REPORT_CLIENTS = 3;
    private static final long REPORTS_MILLIS = 15_000;
    private static final int SMALL_CLIENTS = 20;
    private static final int SMALL_TIMEOUT_MILLIS = 2000;
    private static final int SMALL_DEADLINE_MILLIS = 4000;
    private static final int LATE_MILLIS = 500;
    private static final int MIN_UNANSWERED = 8;
    private static final int CHUNK_BYTES = 16_384;

    private static final String CONFIG =
            """
            {"version":1,
             "routes":[{"name":"confirm","host":"%s","pathPrefix":"/confirm/",
               "kind":"non_idempotent","timeoutMs":%d,"targetLatencyMs":300,"priority":2,
               "service":"despacho","maxAttempts":1,"noAuth":true},
              {"name":"report","host":"%s","pathPrefix":"/report/",
               "kind":"non_idempotent","timeoutMs":%d,"targetLatencyMs":500,"priority":1,
               "service":"reports","maxAttempts":1,"noAuth":true}],
             "services":[{"name":"despacho","healthPath":"/health","maxConnections":110,
               "protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0},
              {"name":"reports","healthPath":"/health","maxConnections":110,
               "protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
              "headerTimeoutMs":3000,"idleTimeoutMs":15000}}"""
                    .formatted(
                            Cases.HOST, SMALL_TIMEOUT_MILLIS, Cases.HOST, REPORT_TIMEOUT_MILLIS);

    private final AtomicInteger mSmall = new AtomicInteger();
    private final AtomicInteger mBeyondTimeout = new AtomicInteger();
    private final AtomicInteger mUnanswered = new AtomicInteger();

    @Override
    public boolean run(Cases.World world) throws IOException {
        for (int i = 0; i < 3; i++) {
            Replica replica =
                    world.add(
                            new Replica(
                                    "i-" + i,
                                    "despacho",
                                    "lima-norte",
                                    "127.0.0.1",
                                    (own, request, body, out) -> {
                                        world.log(
                                                "replica %s runs %s",
                                                own.id(), request.field("rhubarbward-attempt-id"));
                                        Cases.sleep(60);
                                        Replica.answer(request, 200, "", new byte[800], out);
                                    }));
            world.store().put("servers", replica.id(), replica.entry("ready", 6));
        }
        Replica reports =
                world.add(
                        new Replica(
                                "i-9",
                                "reports",
                                "lima-norte",
                                "127.0.0.1",
                                (own, request, body, out) -> report(world, request, out)));
        world.store().put("servers", reports.id(), reports.entry("ready", 6));
        world.store().put("config", "main", CONFIG);
        Router router = world.router("front-1", "lima-norte");
        router.start();
        router.awaitReady();
        Cases.sleep(3500);
        for (int i = 0; i < SMALL_CLIENTS; i++) {
            int number = i;
            Cases.start(() -> sendSmall(world, router, number));
        }
        Cases.sleep(2000);
        for (int i = 0; i < REPORT_CLIENTS; i++) {
            int number = i;
            Cases.start(() -> askForReports(world, router, number));
        }
        Cases.sleep(REPORTS_MILLIS + SMALL_DEADLINE_MILLIS);
        int unanswered = mUnanswered.get();
        world.log(
                "of %d small requests, %d had no answer after %d ms and %d none %d ms later;"
                        + " the router's process %s, and is %s",
                mSmall.get(),
                mBeyondTimeout.get(),
                SMALL_TIMEOUT_MILLIS,
                unanswered,
                LATE_MILLIS,
                router.alive() ? "runs" : "has ended",
                router.ready() ? "ready" : "not ready");
        return unanswered >= MIN_UNANSWERED && 2 * unanswered > mBeyondTimeout.get();
    }

    /** Asks for one report after the other, over a slow link. */
    private static void askForReports(Cases.World world, Router router, int number) {
        long untilMillis = world.now() + REPORTS_MILLIS;
        for (int i = 0; world.now() < untilMillis; i++) {
            String id = "report-" + number + "-" + i;
            world.log("%s sent", id);
            try (Client client = new Client(router.front())) {
                client.write(
                        "POST",
                        "/report/7",
                        "Rhubarbward-Attempt-Id: " + id + "\r\nRhubarbward-Deadline-Remaining: "
                                + REPORT_TIMEOUT_MILLIS + "\r\n",
                        new byte[2400]);
                if (world.trouble()) {
                    long taken = client.drain(REPORT_TIMEOUT_MILLIS, CLIENT_BYTES_PER_SECOND);
                    world.log("the client of %s has taken %d bytes", id, taken);
                } else {
                    Client.Answer answer = client.read(REPORT_TIMEOUT_MILLIS, 0);
                    world.log("%s: status %d %s", id, answer.status(), answer.broken());
                }
            } catch (IOException e) {
                world.log("the client of %s: %s", id, e);
            }
            Cases.sleep(500);
        }
    }

    private static void report(Cases.World world, Head request, OutputStream out)
            throws IOException {
        if (!world.trouble()) {
            world.log("replica i-9 runs %s", request.field("rhubarbward-attempt-id"));
            Replica.answer(request, 200, "", new byte[800], out);
            return;
        }
        String id = request.field("rhubarbward-attempt-id");
        world.log("replica i-9 begins a body without end for %s", id);
        out.write(Replica.head(request, 200, "Transfer-Encoding: chunked\r\n"));
        String chunk = Integer.toHexString(CHUNK_BYTES) + "\r\n" + "x".repeat(CHUNK_BYTES);
        byte[] bytes = (chunk + "\r\n").getBytes();
        long start = System.nanoTime();
        long sent = 0;
        try {
            while (true) {
                out.write(bytes);
                sent += CHUNK_BYTES;
                long dueMillis = 1000L * sent / REPLICA_BYTES_PER_SECOND;
                Cases.sleep(dueMillis - (System.nanoTime() - start) / 1_000_000);
            }
        } finally {
            world.log("replica i-9 has sent %d bytes for %s when its connection ends", sent, id);
        }
    }

    private void sendSmall(Cases.World world, Router router, int client) {
        int number = 0;
        while (true) {
            try (Client connection = new Client(router.front())) {
                while (sendSmall(world, connection, "small-" + client + "-" + number++)) {
                    Cases.sleep(200);
                }
            } catch (IOException e) {
                world.log("small-%d: %s", client, e);
                Cases.sleep(500);
            }
        }
    }

    /** Sends a small request; returns whether its connection can be used again. */
    private boolean sendSmall(Cases.World world, Client connection, String id)
            throws IOException {
        long sentMillis = world.now();
        world.log("%s sent", id);
        connection.write(
                "POST",
                "/confirm/7",
                "Rhubarbward-Attempt-Id: " + id + "\r\nRhubarbward-Deadline-Remaining: "
                        + SMALL_DEADLINE_MILLIS + "\r\n",
                new byte[600]);
        Client.Answer answer = connection.read(SMALL_DEADLINE_MILLIS, 0);
        long tookMillis = world.now() - sentMillis;
        mSmall.incrementAndGet();
        if (tookMillis > SMALL_TIMEOUT_MILLIS) {
            mBeyondTimeout.incrementAndGet();
            mUnanswered.addAndGet(tookMillis > SMALL_TIMEOUT_MILLIS + LATE_MILLIS ? 1 : 0);
        }
        world.log(
                "%s: status %d after %d ms %s",
                id, answer.status(), tookMillis, answer.broken());
        return answer.whole();
    }
}
