package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Requests that share a prompt part which crashes replicas arrive several at a time. */
final class CrashingPart implements Cases.Case {
    private static final long CONTACT_MILLIS = 3000;
    private static final int MOST_AFTER_FIFTH_CRASH = 3;
    private static final int REPLICAS = 13;
    private static final int REQUESTS_AT_A_TIME = 10;
    private static final int TIMES = 4;
    private static final long PERIOD_MILLIS = 6000;
    private static final long FIRST_TOKEN_MILLIS = 60;
    private static final long DOWN_MILLIS = 2500;
    private static final int FIFTH = 4;
    private static final String BAD_PART = "5c1e07a2";

    private static final String CONFIG =
            """
            {"version":1,
             "routes":[{"name":"tag","host":"%s","pathPrefix":"/tag/","kind":"streaming",
              "timeoutMs":2500,"targetLatencyMs":300,"priority":2,"service":"asistente",
              "maxAttempts":1,"noAuth":true,"sessionAffinity":true,"streamResume":false,
              "gapTargetMs":250}],
             "services":[{"name":"asistente","healthPath":"/health","maxConnections":370,
              "protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0,
              "engine":{"slots":64,"kvCapacityTokens":813414}}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
              "headerTimeoutMs":3000,"idleTimeoutMs":15000}}"""
                    .formatted(Cases.HOST);

    private final ConcurrentLinkedQueue<Long> mCrashes = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Long> mArrivals = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mNumber = new AtomicInteger();

    @Override
    public boolean run(Cases.World world) throws IOException {
        for (int i = 0; i < REPLICAS; i++) {
            Replica replica =
                    world.add(
                            new Replica(
                                    "i-" + i,
                                    "asistente",
                                    "lima-norte",
                                    "127.0.0.1",
                                    (own, request, body, out) -> serve(world, own, request, out)));
            world.store().put("servers", replica.id(), replica.entry("ready", 64));
        }
        world.store().put("config", "main", CONFIG);
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
        Thread sound = Cases.start(() -> sendSound(world, routers));
        for (int time = 0; time < TIMES; time++) {
            List<Thread> requests = new ArrayList<>();
            for (int i = 0; i < REQUESTS_AT_A_TIME; i++) {
                Router router = routers.get(i % routers.size());
                String first = world.trouble() ? BAD_PART : "77aa77aa";
                String id = "batch" + time + "-" + i;
                requests.add(Cases.start(() -> request(world, router, id, first)));
            }
            Cases.sleep(PERIOD_MILLIS);
        }
        return broken(world);
    }

    private boolean broken(Cases.World world) {
        List<Long> crashes = List.copyOf(mCrashes);
        if (crashes.size() <= FIFTH) {
            world.log("%d crashes", crashes.size());
            return false;
        }
        long boundMillis = crashes.get(FIFTH) + CONTACT_MILLIS;
        long late = mArrivals.stream().filter(millis -> millis > boundMillis).count();
        world.log(
                "the fifth crash was at %d ms; %d requests with the part arrived after %d ms",
                crashes.get(FIFTH), late, boundMillis);
        return late > MOST_AFTER_FIFTH_CRASH;
    }

    /** Sound requests come all the while, each second one to each router. */
    private void sendSound(Cases.World world, List<Router> routers) {
        while (true) {
            routers.forEach(
                    router ->
                            Cases.start(
                                    () ->
                                            request(
                                                    world,
                                                    router,
                                                    "sound-" + mNumber.incrementAndGet(),
                                                    "91bd3f06")));
            Cases.sleep(200);
        }
    }

    private void request(Cases.World world, Router router, String id, String firstPart) {
        String second = Integer.toHexString(id.hashCode());
        try (Client client = new Client(router.front())) {
            client.write(
                    "POST",
                    "/tag/2f",
                    "Rhubarbward-Attempt-Id: " + id + "\r\nRhubarbward-Model-Name: m\r\n"
                            + "Rhubarbward-Token-Count: 1460,80\r\nRhubarbward-Prompt-Prefix: "
                            + firstPart + ":341," + second + ":410,e4" + second + ":250\r\n"
                            + "Rhubarbward-Deadline-Remaining: 2500\r\n",
                    new byte[2400]);
            world.log("%s sent to %s", id, router.name());
            Client.Answer answer = client.read(3500, 0);
            world.log("%s: status %d %s", id, answer.status(), answer.broken());
        } catch (IOException e) {
            world.log("%s at %s: %s", id, router.name(), e);
        }
    }

    private void serve(Cases.World world, Replica replica, Head request, OutputStream out)
            throws IOException {
        String id = request.field("rhubarbward-attempt-id");
        boolean bad = request.field("rhubarbward-prompt-prefix").startsWith(BAD_PART);
        if (bad) {
            mArrivals.add(world.now());
        }
        world.log("%s reaches replica %s", id, replica.id());
        Cases.sleep(FIRST_TOKEN_MILLIS);
        if (bad) {
            crash(world, replica, id);
            return;
        }
        byte[] events = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n".getBytes();
        Replica.answer(request, 200, "Content-Type: text/event-stream\r\n", events, out);
    }

    private void crash(Cases.World world, Replica replica, String id) {
        long millis = world.now();
        if (!replica.crash()) {
            return;
        }
        mCrashes.add(millis);
        world.log("replica %s crashes as it begins to answer %s", replica.id(), id);
        Cases.start(
                () -> {
                    Cases.sleep(DOWN_MILLIS);
                    try {
                        replica.restart();
                        world.store()
                                .put("servers", replica.id(), replica.entry("ready", 64));
                        world.log("replica %s is back", replica.id());
                    } catch (IOException e) {
                        world.log("replica %s is not back: %s", replica.id(), e);
                    }
                });
    }
}
