package io.rhubarbward.testing;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.rhubarbward.catalog.Catalog;
import io.rhubarbward.catalog.RouteKind;
import io.rhubarbward.catalog.WeightedService;
import io.rhubarbward.config.BackendServer;
import io.rhubarbward.directory.ListedServer;
import io.rhubarbward.directory.RouterPresence;
import io.rhubarbward.forward.LocalRetryBudget;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.membership.PeerMessage;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.move.RolloutOrder;
import io.rhubarbward.node.FleetBounds;
import io.rhubarbward.node.FleetNodeSettings;
import io.rhubarbward.node.FleetPorts;
import io.rhubarbward.node.FleetRouter;
import io.rhubarbward.request.BackendCall;
import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.request.BackendListener;
import io.rhubarbward.request.BackendRequest;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.store.StoreRevision;
import io.rhubarbward.timer.VirtualTimerService;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;

/** Whole fleet routers of three data centres with a store and servers, in virtual time. */
public final class RouterFleet {
    public static final String PATH = "/chat/1";
    private static final List<String> DATA_CENTRES = List.of("a", "b", "c");
    private static final String CATALOGS = "catalogs";
    private static final String SERVERS = "servers";
    private static final String ROUTERS = "routers";
    public static final String ROLLOUTS = "rollouts";
    private static final Duration PEER_CONNECT_TIMEOUT = Duration.ofMillis(400);
    private static final Duration START = Duration.ofSeconds(4);

    public final VirtualTimerService mTimers = new VirtualTimerService();
    public final FakeStore mStore = new FakeStore(mTimers);
    public final FakePeers mPeers = new FakePeers(mTimers);
    public final SimulatedServers mServers = new SimulatedServers(mTimers, this::list);
    public final List<Router> mRouters = new ArrayList<>();
    public final List<Sent> mSent = new ArrayList<>();
    public final SplittableRandom mRandom;
    private final int mSlots;
    private final double mExposureShare;
    private int mAnnouncements;
    private final Map<String, String> mDataCentreByServer = new HashMap<>();
    private final Map<String, String> mVersionByServer = new HashMap<>();
    private final Catalog mCatalog =
            Catalogs.of(
                    1,
                    Catalogs.route(
                            "chat",
                            "/chat/",
                            RouteKind.STREAMING,
                            List.of(new WeightedService("chat", 1)),
                            1));

    /** Starts routers and servers in equal numbers a data centre. */
    public RouterFleet(long seed, int routers, int servers) {
        this(seed, routers, servers, 64);
    }

    /** Starts routers, and servers that each say that they run so many requests concurrently. */
    public RouterFleet(long seed, int routers, int servers, int slots) {
        this(seed, routers, servers, slots, 0.1);
    }

    /** Starts routers that may use the share of the requests to try versions. */
    public RouterFleet(long seed, int routers, int servers, int slots, double exposureShare) {
        mSlots = slots;
        mExposureShare = exposureShare;
        mRandom = new SplittableRandom(seed);
        mStore.put(CATALOGS, "main", "");
        IntStream.range(0, servers)
                .forEach(index -> addServer("e-" + index, DATA_CENTRES.get(index % 3), "v1"));
        IntStream.range(0, routers)
                .forEach(
                        index ->
                                mRouters.add(
                                        new Router("r-" + index, DATA_CENTRES.get(index % 3))));
        mRouters.forEach(
                router ->
                        mTimers.after(
                                Duration.ofMillis(mRandom.nextInt(300)),
                                () -> router.mTimers.run(router::start)));
        mTimers.advance(START);
    }

    /** A caller's request and the answer to it. */
    public record Sent(
            long atMillis,
            String router,
            String parts,
            RecordingResponse response,
            CallerListener connection) {}

    public void addServer(String name, String dataCentre, String version) {
        mDataCentreByServer.put(name, dataCentre);
        mVersionByServer.put(name, version);
        list(name, 1L);
    }

    /** Removes the server's entry from the store; the server runs on. */
    public void removeServer(String name) {
        mStore.delete(SERVERS, name);
    }

    public String versionOf(String server) {
        return mVersionByServer.getOrDefault(server, "");
    }

    private void list(String server, long startedAtMillis) {
        mStore.put(
                SERVERS,
                server,
                mDataCentreByServer.get(server)
                        + ' '
                        + startedAtMillis
                        + ' '
                        + mVersionByServer.get(server));
    }

    /** Writes an operator's order to move the service to the version. */
    public void orderRollout(String target, Duration duration) {
        mStore.put(ROLLOUTS, "chat", target + ' ' + duration.toMillis() + " REQUESTED");
    }

    /** Restores the store from a copy of the age, after an outage. */
    public void restoreStore(Duration copyAge, Duration outage) {
        mStore.refuse(router -> true);
        mTimers.advance(outage);
        mStore.restore(copyAge.plus(outage));
        mStore.refuse(router -> false);
    }

    /** Returns how often routers have listed themselves. */
    public int announcements() {
        return mAnnouncements;
    }

    /** Returns the names of the routers that the store lists. */
    public Set<String> listedRouters() {
        return mStore.objects(ROUTERS).keySet();
    }

    /** Returns the state of the order in the store. */
    public RolloutOrder.State rolloutState() {
        return decodeRollout("chat", mStore.objects(ROLLOUTS).getOrDefault("chat", ""))
                .get()
                .state();
    }

    private static Either<String, RolloutOrder> decodeRollout(String name, String text) {
        String[] fields = text.split(" ");
        return Either.right(
                new RolloutOrder(
                        name,
                        fields[0],
                        Duration.ofMillis(Long.parseLong(fields[1])),
                        RolloutOrder.State.valueOf(fields[2])));
    }

    private boolean writeRollout(
            String name, String target, RolloutOrder.State state, StoreRevision revision) {
        boolean unchanged = mStore.revision(ROLLOUTS, name).equals(revision);
        if (unchanged) {
            long durationMillis =
                    decodeRollout(name, mStore.objects(ROLLOUTS).getOrDefault(name, ""))
                            .get()
                            .duration()
                            .toMillis();
            mStore.put(ROLLOUTS, name, target + ' ' + durationMillis + ' ' + state);
        }
        return unchanged;
    }

    private Either<String, ListedServer> decodeServer(String name, String text) {
        String[] fields = text.split(" ");
        if (fields.length < 3) {
            return Either.left("expected a data centre, a start time and a version");
        }
        return Either.right(
                new ListedServer(
                        new BackendServer(
                                name,
                                "chat",
                                fields[0],
                                name + ":1",
                                fields[2],
                                BackendServer.Fencing.IGNORES),
                        mSlots,
                        false,
                        Duration.ZERO,
                        0,
                        Long.parseLong(fields[1])));
    }

    /** Sends a request whose prompt has the shared parts to a router that runs, drawn at random. */
    public Sent send(String parts) {
        return send(drawRunning(), parts);
    }

    private Router drawRunning() {
        List<Router> running =
                mRouters.stream().filter(router -> router.mRuns && !router.mFrozen).toList();
        return running.get(mRandom.nextInt(running.size()));
    }

    /** The same with the body given, which is otherwise different for each request. */
    public Sent send(String parts, String body) {
        return send(drawRunning(), parts, body);
    }

    public Sent send(Router router, String parts) {
        return send(router, parts, "body " + mSent.size());
    }

    private Sent send(Router router, String parts, String body) {
        RecordingResponse response = new RecordingResponse();
        HeaderFields headers =
                HeaderFields.of("id", "q-" + mSent.size())
                        .with("host", Catalogs.HOST)
                        .with("key", Catalogs.API_KEY)
                        .with("part", parts)
                        .with("patience", "12000");
        ByteBuffer bytes = StandardCharsets.UTF_8.encode(body);
        CallerListener connection =
                router.mRouter.serve(new CallerRequest("POST", PATH, headers, bytes), response);
        Sent sent = new Sent(mTimers.nowMillis(), router.mName, parts, response, connection);
        mSent.add(sent);
        return sent;
    }

    public void advance(long millis) {
        mTimers.advance(Duration.ofMillis(millis));
    }

    /** A router with the VM that it runs on. */
    public final class Router {
        public final String mName;
        private final String mDataCentre;
        private FreezableTimers mTimers = new FreezableTimers(RouterFleet.this.mTimers);
        private FleetRouter mRouter;
        public RecordingEvents mEvents = new RecordingEvents();
        private boolean mRuns;
        private boolean mFrozen;

        Router(String name, String dataCentre) {
            mName = name;
            mDataCentre = dataCentre;
            mRouter = create();
        }

        private FleetRouter create() {
            mTimers = new FreezableTimers(RouterFleet.this.mTimers);
            mEvents = new RecordingEvents();
            InetSocketAddress address = InetSocketAddress.createUnresolved(mName, 1);
            FleetBounds bounds =
                    new FleetBounds(
                            true,
                            Duration.ofSeconds(5),
                            new LocalRetryBudget.Bound(0.2, Duration.ofSeconds(10), 50),
                            mExposureShare,
                            Duration.ofSeconds(8));
            mPeers.remove(mName);
            return new FleetRouter(
                    new FleetNodeSettings(
                            mName,
                            mDataCentre,
                            address,
                            address,
                            address,
                            InetSocketAddress.createUnresolved(mName, 2),
                            "store",
                            1,
                            bounds),
                    new FleetPorts(
                            mTimers,
                            mRandom.split(),
                            mEvents,
                            new PrometheusRegistry(),
                            this::send,
                            mServers.probeOf(mName),
                            new FakeRequestDialect(),
                            transport(mPeers.endpoint(mName)),
                            store()));
        }

        /** Sends a request to a server, or to another router by its name. */
        private BackendCall send(BackendRequest request, BackendListener listener) {
            Optional<Router> peer =
                    mRouters.stream()
                            .filter(router -> router.mName.equals(request.server().name()))
                            .findFirst();
            return peer.map(router -> sendToPeer(router, request, listener))
                    .orElseGet(() -> mServers.clientOf(mName).send(request, listener));
        }

        private BackendCall sendToPeer(
                Router peer, BackendRequest request, BackendListener listener) {
            PeerLink link = new PeerLink(mTimers, listener);
            if (peer.mRuns) {
                link.send(request, peer.mTimers, peer.mRouter::serveForwarded);
            } else {
                link.fail(PEER_CONNECT_TIMEOUT, BackendFailure.NOT_CONNECTED);
            }
            return link;
        }

        /** Delivers to a frozen VM once it thaws. */
        private PeerTransport transport(PeerTransport endpoint) {
            FreezableTimers timers = mTimers;
            return new PeerTransport() {
                @Override
                public void send(Peer to, PeerMessage message) {
                    endpoint.send(to, message);
                }

                @Override
                public <M extends PeerMessage> void subscribe(
                        Class<M> type, BiConsumer<String, M> handler) {
                    endpoint.subscribe(
                            type,
                            (sender, message) -> timers.run(() -> handler.accept(sender, message)));
                }
            };
        }

        private FleetPorts.Store store() {
            return new FleetPorts.Store(
                    mStore.kind(mName, CATALOGS, (name, text) -> Either.right(mCatalog)),
                    "main",
                    mStore.kind(mName, SERVERS, RouterFleet.this::decodeServer),
                    mStore.kind(mName, "evacuations", (name, text) -> Either.right(name)),
                    mStore.kind(mName, ROUTERS, (name, text) -> decodePresence(text)),
                    mStore.kind(mName, ROLLOUTS, RouterFleet::decodeRollout),
                    (name, target, state, revision) ->
                            CompletableFuture.completedStage(
                                    writeRollout(name, target, state, revision)),
                    (router, presence) -> {
                        mAnnouncements++;
                        mStore.put(
                                ROUTERS,
                                router,
                                presence.dataCentre()
                                        + ' '
                                        + presence.address()
                                        + ' '
                                        + presence.forwardingAddress());
                        return CompletableFuture.completedStage(true);
                    });
        }

        private static Either<String, RouterPresence> decodePresence(String text) {
            String[] fields = text.split(" ");
            return Either.right(new RouterPresence(fields[0], fields[1], fields[2], 1));
        }

        /** Returns whether the router suspects any request of crashing servers. */
        public boolean suspectsCrashes() {
            return mRouter.suspectsCrashes();
        }

        /** Returns whether the balancer should send new connections to the router. */
        public boolean ready() {
            return mRouter.ready();
        }

        /** Begins a planned stop, in which callers are still served. */
        public void beginStop() {
            mRouter.beginStop(Duration.ofSeconds(7));
        }

        private void start() {
            mRuns = true;
            mRouter.start();
        }

        public void kill() {
            mRuns = false;
            mTimers.stop();
            mPeers.remove(mName);
        }

        public void restart() {
            kill();
            mRouter = create();
            start();
        }

        public void freeze() {
            mFrozen = true;
            mTimers.freeze();
        }

        public void thaw() {
            mFrozen = false;
            mTimers.thaw();
        }

        public boolean relays() {
            return mRouter.relayFollowers() > 0;
        }
    }
}
