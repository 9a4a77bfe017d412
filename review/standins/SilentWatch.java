package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Idle connections to the store go silent; some seconds later a zone is evacuated. */
final class SilentWatch implements Cases.Case {
    private static final long CONTACT_MILLIS = 3000;
    private static final long EVACUATION_MILLIS = 5000;
    private static final long IDLE_MILLIS = 2000;
    private static final long REQUEST_PERIOD_MILLIS = 50;
    private static final String EVACUATED = "lima-norte";
    private static final String OTHER = "lima-centro";

    private static final String CONFIG =
            """
            {"version":1,
             "routes":[{"name":"status","host":"%s","pathPrefix":"/status/",
              "kind":"idempotent","timeoutMs":2000,"targetLatencyMs":300,"priority":2,
              "service":"despacho","maxAttempts":2,"noAuth":true}],
             "services":[{"name":"despacho","healthPath":"/health","maxConnections":110,
              "protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
              "headerTimeoutMs":3000,"idleTimeoutMs":15000}}"""
                    .formatted(Cases.HOST);

    /** A request that reached a replica of the evacuated zone. */
    private record Arrival(long millis, String id, String replica) {}

    private final ConcurrentLinkedQueue<Arrival> mArrivals = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mNumber = new AtomicInteger();

    @Override
    public boolean run(Cases.World world) throws IOException {
        for (int i = 0; i < 4; i++) {
            String zone = i < 2 ? EVACUATED : OTHER;
            Replica replica =
                    world.add(
                            new Replica(
                                    "i-" + zone + "-" + i,
                                    "despacho",
                                    zone,
                                    "127.0.0.1",
                                    (own, request, body, out) ->
                                            serve(world, own, zone, request, out)));
            world.store().put("servers", replica.id(), replica.entry("ready", 6));
        }
        world.store().put("config", "main", CONFIG);
        AtomicLong watchedMillis = new AtomicLong();
        world.store()
                .onCall(
                        call -> {
                            if (call.kind().equals("evacuations")
                                    && call.query().containsKey("watch")
                                    && Long.parseLong(call.query().get("waitMs")) > 1000) {
                                watchedMillis.set(world.now());
                            }
                        });
        Link link = world.add(new Link("127.0.0.1", world.store().address()));
        List<Router> routers =
                List.of(
                        world.router("front-1", EVACUATED, link.address()),
                        world.router("front-2", EVACUATED, link.address()));
        for (Router router : routers) {
            router.start();
        }
        for (Router router : routers) {
            router.awaitReady();
        }
        Cases.sleep(6000);
        Cases.start(() -> send(world, routers));
        long seenMillis = watchedMillis.get();
        while (watchedMillis.get() == seenMillis && world.now() < 40_000) {
            Cases.sleep(20);
        }
        Cases.sleep(IDLE_MILLIS + 500);
        if (world.trouble()) {
            world.log(
                    "%d of %d connections to the store, idle for %d ms, go silent",
                    link.silenceIdle(IDLE_MILLIS), link.open(), IDLE_MILLIS);
        }
        Cases.sleep(CONTACT_MILLIS + 200);
        world.store().put("evacuations", EVACUATED, "{}");
        long acknowledgedMillis = world.now();
        world.log("the evacuation of %s is acknowledged", EVACUATED);
        Cases.sleep(EVACUATION_MILLIS + 6000);
        List<Arrival> late =
                mArrivals.stream()
                        .filter(
                                arrival ->
                                        arrival.millis() > acknowledgedMillis + EVACUATION_MILLIS)
                        .toList();
        late.stream()
                .limit(10)
                .forEach(
                        arrival ->
                                world.log(
                                        "%s reached %s %d ms after the acknowledgement",
                                        arrival.id(),
                                        arrival.replica(),
                                        arrival.millis() - acknowledgedMillis));
        world.log(
                "%d requests reached the zone later than %d ms after the acknowledgement",
                late.size(), EVACUATION_MILLIS);
        return !late.isEmpty();
    }

    private void send(Cases.World world, List<Router> routers) {
        while (true) {
            routers.forEach(router -> Cases.start(() -> request(world, router)));
            Cases.sleep(REQUEST_PERIOD_MILLIS);
        }
    }

    private void request(Cases.World world, Router router) {
        String id = "a-" + mNumber.incrementAndGet() + "-" + router.name();
        try (Client client = new Client(router.front())) {
            client.write(
                    "GET",
                    "/status/7",
                    "Rhubarbward-Attempt-Id: " + id
                            + "\r\nRhubarbward-Deadline-Remaining: 2000\r\n",
                    new byte[0]);
            world.log("%s sent", id);
            Client.Answer answer = client.read(3000, 0);
            world.log("%s: status %d %s", id, answer.status(), answer.broken());
        } catch (IOException e) {
            world.log("%s: %s", id, e);
        }
    }

    private void serve(
            Cases.World world, Replica replica, String zone, Head request, OutputStream out)
            throws IOException {
        String id = request.field("rhubarbward-attempt-id");
        world.log("replica %s in %s runs %s", replica.id(), zone, id);
        if (zone.equals(EVACUATED)) {
            mArrivals.add(new Arrival(world.now(), id, replica.id()));
        }
        Cases.sleep(20);
        Replica.answer(request, 200, "", new byte[800], out);
    }
}
