package io.rhubarbward.relay;

import static com.google.common.truth.Truth.assertWithMessage;

import io.rhubarbward.directory.RouterDirectory;
import io.rhubarbward.directory.RouterPresence;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.membership.PeerMessage;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.store.DecodedObject;
import io.rhubarbward.store.KindListener;
import io.rhubarbward.store.KindWatcher;
import io.rhubarbward.store.StoreAvailability;
import io.rhubarbward.store.StoreRevision;
import io.rhubarbward.store.WatchTiming;
import io.rhubarbward.testing.FakePeers;
import io.rhubarbward.testing.FakeStore;
import io.rhubarbward.testing.FreezableTimers;
import io.rhubarbward.testing.RecordingEvents;
import io.rhubarbward.timer.ClockJumpDetector;
import io.rhubarbward.timer.VirtualTimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/**
 * Routers of several data centres that follow a {@link FakeStore} on virtual time. After every step
 * it checks that no router takes its state for fresher than it is, and that none goes back.
 */
final class RelayFleet {
    static final String CONFIG = "config";
    static final String SERVERS = "servers";
    static final String ROUTERS = "routers";
    private static final Duration STEP = Duration.ofMillis(20);
    private static final long STRICT_REVOCATION_MILLIS = 4600;

    final VirtualTimerService mTimers = new VirtualTimerService();
    final FakeStore mStore = new FakeStore(mTimers);
    final FakePeers mPeers = new FakePeers(mTimers);
    final List<Router> mRouters = new ArrayList<>();
    private final SplittableRandom mRandom;

    /** The time at which each version of the configuration was written, by version. */
    private final TreeMap<Integer, Long> mVersionTimes = new TreeMap<>();

    RelayFleet(long seed) {
        mRandom = new SplittableRandom(seed);
        writeVersion(1);
    }

    /** Starts routers {@code dc-0} and so on in each data centre, within 300 ms. */
    void startRouters(int perDataCentre, String... dataCentres) {
        for (String dataCentre : dataCentres) {
            IntStream.range(0, perDataCentre)
                    .forEach(
                            index -> {
                                Router router = new Router(dataCentre + "-" + index, dataCentre);
                                mRouters.add(router);
                                mTimers.after(
                                        Duration.ofMillis(mRandom.nextInt(300)),
                                        () -> router.mTimers.run(router::start));
                            });
        }
    }

    void writeVersion(int version) {
        mVersionTimes.put(version, mTimers.nowMillis());
        mStore.put(CONFIG, "main", String.valueOf(version));
    }

    int newestVersion() {
        return mVersionTimes.lastKey();
    }

    /** Moves the time forward and checks the routers' beliefs all the while. */
    void advance(Duration duration) {
        for (long step = 0; step < duration.toMillis(); step += STEP.toMillis()) {
            mTimers.advance(STEP);
            mRouters.forEach(Router::check);
        }
    }

    List<Router> relays() {
        return mRouters.stream().filter(Router::callsStore).toList();
    }

    /** Returns the router that most routers of the data centre follow. */
    Router relayOf(String dataCentre) {
        return mRouters.stream()
                .filter(router -> router.mDataCentre.equals(dataCentre) && router.mRuns)
                .max(Comparator.comparingLong(router -> router.mFollower.followers()))
                .orElseThrow();
    }

    /** Returns the routers that may serve requests with keys. */
    List<Router> trusted() {
        return running(router -> router.mConfig.stalenessMillis() < STRICT_REVOCATION_MILLIS);
    }

    List<Router> running(Predicate<Router> condition) {
        return mRouters.stream().filter(r -> r.mRuns && !r.mFrozen).filter(condition).toList();
    }

    /** A router's store side: watchers, relay and follower. */
    final class Router {
        final String mName;
        final String mDataCentre;
        FreezableTimers mTimers;
        boolean mFrozen;
        boolean mRuns;
        KindWatcher<String> mConfig;
        KindWatcher<String> mServers;
        StoreFollower mFollower;
        StoreAvailability mAvailability;
        RouterDirectory mDirectory;
        int mVersion;
        final Map<String, String> mKnownServers = new TreeMap<>();
        private ClockJumpDetector mClock;

        Router(String name, String dataCentre) {
            mName = name;
            mDataCentre = dataCentre;
            create();
        }

        private void create() {
            mTimers = new FreezableTimers(RelayFleet.this.mTimers);
            RecordingEvents events = new RecordingEvents();
            mAvailability = new StoreAvailability(mTimers, events);
            mDirectory = new RouterDirectory(events);
            mClock = new ClockJumpDetector(mTimers);
            mVersion = 0;
            mKnownServers.clear();
            mConfig = watcher(CONFIG, new ConfigListener(), Duration.ofMillis(1500));
            mServers = watcher(SERVERS, new ServerListener(), Duration.ofSeconds(12));
            KindWatcher<RouterPresence> routers =
                    new KindWatcher<>(
                            mStore.kind(mName, ROUTERS, Router::decodePresence),
                            mDirectory,
                            new WatchTiming(
                                    Duration.ofSeconds(12),
                                    Duration.ofMillis(500),
                                    Duration.ofSeconds(12)),
                            mTimers,
                            mAvailability,
                            mRandom.split());
            mFollower =
                    new StoreFollower(
                            mName,
                            mDataCentre,
                            List.of(mConfig, mServers, routers),
                            mAvailability,
                            mDirectory::routers,
                            new RouterTransport(mName, mTimers),
                            mTimers,
                            events,
                            this::checkClocks);
        }

        private KindWatcher<String> watcher(
                String kind, KindListener<String> listener, Duration wait) {
            return new KindWatcher<>(
                    mStore.kind(mName, kind, Either::right),
                    listener,
                    kind.equals(CONFIG)
                            ? new WatchTiming(wait, Duration.ZERO, wait)
                            : new WatchTiming(wait, Duration.ofMillis(500), Duration.ofMillis(400)),
                    mTimers,
                    mAvailability,
                    mRandom.split());
        }

        private static Either<String, RouterPresence> decodePresence(String text) {
            String[] fields = text.split(" ");
            return Either.right(new RouterPresence(fields[0], fields[1], 1));
        }

        void start() {
            mRuns = true;
            mFollower.start();
            mTimers.every(Duration.ofMillis(200), this::checkClocks);
            announce();
        }

        void announce() {
            mStore.put(ROUTERS, mName, mDataCentre + " " + mName + ":1");
        }

        void checkClocks() {
            if (mClock.takeJumpMillis() != 0) {
                mFollower.voidOpenRequests();
                mConfig.relist();
                mServers.relist();
            }
        }

        boolean callsStore() {
            return mRuns && !mFrozen && mFollower.callsStore();
        }

        void kill() {
            mRuns = false;
            mFrozen = false;
            mTimers.stop();
            mPeers.remove(mName);
        }

        void restart() {
            kill();
            create();
            start();
        }

        void freeze() {
            mFrozen = true;
            mTimers.freeze();
        }

        void thaw() {
            mFrozen = false;
            mTimers.thaw();
        }

        @Override
        public String toString() {
            return mName + (mRuns ? " followed by " + mFollower.followers() : " ended");
        }

        /** A router that sends a request now checks its clocks first. */
        private void check() {
            if (!mRuns || mFrozen) {
                return;
            }
            checkClocks();
            long confirmedAt = RelayFleet.this.mTimers.nowMillis() - mConfig.stalenessMillis();
            int due =
                    mVersionTimes.entrySet().stream()
                            .filter(entry -> entry.getValue() < confirmedAt)
                            .mapToInt(Map.Entry::getKey)
                            .max()
                            .orElse(0);
            assertWithMessage(
                            "%s at %s, confirmed at %s",
                            mName, RelayFleet.this.mTimers.nowMillis(), confirmedAt)
                    .that(mVersion)
                    .isAtLeast(due);
        }

        /** Keeps the highest version, as the versions are the operator's and not the store's. */
        private final class ConfigListener implements KindListener<String> {
            private int mStoreVersion;
            private StoreRevision mStoreRevision = StoreRevision.NONE;

            @Override
            public void onSnapshot(List<DecodedObject<String>> items) {
                items.forEach(this::onItem);
            }

            @Override
            public void onItem(DecodedObject<String> item) {
                int version = Integer.parseInt(item.value().get());
                if (item.revision().isInEraOf(mStoreRevision)) {
                    assertWithMessage("%s goes back", mName).that(version).isAtLeast(mStoreVersion);
                }
                mStoreVersion = version;
                mStoreRevision = item.revision();
                mVersion = Math.max(mVersion, version);
            }

            @Override
            public boolean storeIsUpToDate() {
                return mStoreVersion == mVersion;
            }

            @Override
            public void onDeleted(String name) {}
        }

        private final class ServerListener implements KindListener<String> {
            @Override
            public void onSnapshot(List<DecodedObject<String>> items) {
                mKnownServers.clear();
                items.forEach(this::onItem);
            }

            @Override
            public void onItem(DecodedObject<String> item) {
                mKnownServers.put(item.name(), item.value().get());
            }

            @Override
            public void onDeleted(String name) {
                mKnownServers.remove(name);
            }
        }
    }

    /** Delivers to a frozen VM once it thaws. */
    private final class RouterTransport implements PeerTransport {
        private final PeerTransport mEndpoint;
        private final FreezableTimers mRouterTimers;

        RouterTransport(String name, FreezableTimers timers) {
            mPeers.remove(name);
            mEndpoint = mPeers.endpoint(name);
            mRouterTimers = timers;
        }

        @Override
        public void send(Peer to, PeerMessage message) {
            mEndpoint.send(to, message);
        }

        @Override
        public void reconnect(Peer to) {
            mEndpoint.reconnect(to);
        }

        @Override
        public <M extends PeerMessage> void subscribe(
                Class<M> type, BiConsumer<String, M> handler) {
            mEndpoint.subscribe(
                    type,
                    (sender, message) -> mRouterTimers.run(() -> handler.accept(sender, message)));
        }
    }
}
