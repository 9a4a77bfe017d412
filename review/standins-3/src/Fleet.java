import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: a store, replicas, routers and a client. */
final class Fleet implements AutoCloseable {
    /** The services and routes of the small sites, with their limits. */
    static final String ENGINES = "huvo11a";

    static final String PLAIN = "wuno96b";

    private static final String ENGINE_ROUTES =
            """
            {"name":"r-chat","host":"ficu95.example","pathPrefix":"/lohu930/",\
            "kind":"streaming","timeoutMs":12000,"targetLatencyMs":500,"priority":1,\
            "service":"huvo11a","maxAttempts":1,"noAuth":false,"sessionAffinity":true,\
            "streamResume":false,"gapTargetMs":250},\
            """;

    private static final String PLAIN_ROUTES =
            """
            {"name":"r-order","host":"ficu95.example","pathPrefix":"/puxa403/",\
            "kind":"non_idempotent","timeoutMs":4000,"targetLatencyMs":300,"priority":2,\
            "service":"wuno96b","maxAttempts":1,"noAuth":false},\
            {"name":"r-status","host":"ficu95.example","pathPrefix":"/cufi504/",\
            "kind":"idempotent","timeoutMs":4000,"targetLatencyMs":300,"priority":2,\
            "service":"wuno96b","maxAttempts":2,"noAuth":false}\
            """;

    private static final String ENGINE_SERVICE =
            """
            {"name":"huvo11a","healthPath":"/health","maxConnections":370,"protocol":"h1",\
            "tls":false,"coldStartS":3.0,"coldPerS":20.0,"engine":{"slots":64,\
            "kvCapacityTokens":813414,"kvTokenBytes":18432,"linkMbps":370000.0,"moves":true,\
            "backups":true,"stride":7,"most":2,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,\
            "models":[{"name":"m"}]}},\
            """;

    private static final String PLAIN_SERVICE =
            """
            {"name":"wuno96b","healthPath":"/health","maxConnections":110,"protocol":"h1",\
            "tls":false,"coldStartS":0.0,"coldPerS":0.0}\
            """;

    private static final String LIMITS =
            """
            {"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,\
            "idleTimeoutMs":15000}\
            """;

    private static final String TENANTS =
            """
            {"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}\
            """;

    private static final List<String> ZONES = List.of("lima-norte", "lima-centro", "lima-sur");

    final Record record = new Record();
    final Store store = new Store();
    final Caller caller = new Caller(record);
    final List<Replica> replicas = new ArrayList<>();
    final List<Router> routers = new ArrayList<>();
    final Path folder;
    private final Path mRoot;
    private final String mNet;

    /** Creates a fleet with a store. */
    Fleet(Path root) {
        mRoot = root;
        Random random = new Random();
        mNet = "127." + (10 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
        try {
            folder = Files.createTempDirectory("review-3-");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        store.open();
        configure(7, ENGINE_ROUTES, ENGINE_SERVICE);
    }

    /** Takes the engines and their route out of the configuration. */
    void withoutEngines() {
        configure(8, "", "");
    }

    private void configure(int version, String engineRoutes, String engineService) {
        store.put(
                "config",
                "main",
                "{\"version\":"
                        + version
                        + ",\"routes\":["
                        + engineRoutes
                        + PLAIN_ROUTES
                        + "],\"services\":["
                        + engineService
                        + PLAIN_SERVICE
                        + "],\"limits\":"
                        + LIMITS
                        + ",\"tenants\":["
                        + TENANTS
                        + "]}");
    }

    void addReplica(String name, Replica.Profile profile, Replica.Behaviour behaviour) {
        Replica replica = new Replica(name, profile, store, record, behaviour);
        replicas.add(replica);
        replica.start(false);
    }

    /** Returns the zone of the thing with the number. */
    static String zone(int number) {
        return ZONES.get(number % ZONES.size());
    }

    Router addRouter(String zone, String storeAddress) {
        int number = routers.size();
        Router router =
                new Router(
                        "front-" + zone + "-" + number,
                        zone,
                        mNet + (1 + number),
                        mRoot,
                        folder,
                        storeAddress);
        routers.add(router);
        return router;
    }

    /** Adds routers, one zone after the other, and starts them. */
    void startRouters(int count) {
        for (int i = 0; i < count; i++) {
            addRouter(zone(i), store.address());
        }
        routers.forEach(Router::start);
        awaitReady();
    }

    /** Waits for the routers; one that has ended is started again, as the platform does. */
    void awaitReady() {
        await(
                "all routers are ready",
                30_000,
                () -> {
                    routers.stream().filter(router -> !router.alive()).forEach(this::startAgain);
                    return routers.stream().allMatch(Router::ready);
                });
        record.add("all routers are ready");
    }

    private void startAgain(Router router) {
        record.add(router.name() + " has ended by itself: " + router.lastLogLine());
        router.start();
    }

    void await(String what, long millis, BooleanSupplier condition) {
        long until = Record.now() + millis;
        while (!condition.getAsBoolean()) {
            if (Record.now() > until) {
                throw new IllegalStateException("in vain: " + what);
            }
            Threads.sleep(50);
        }
    }

    @Override
    public void close() {
        routers.forEach(Router::kill);
        if (System.getenv("KEEP") != null) {
            System.err.println("logs in " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
