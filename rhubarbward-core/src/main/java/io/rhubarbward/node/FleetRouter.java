package io.rhubarbward.node;

import io.rhubarbward.admission.AccountUsage;
import io.rhubarbward.admission.AdmissionMetrics;
import io.rhubarbward.admission.FleetAdmission;
import io.rhubarbward.admission.RoomEstimate;
import io.rhubarbward.admission.ServiceRoom;
import io.rhubarbward.catalog.CallerLimits;
import io.rhubarbward.catalog.Catalog;
import io.rhubarbward.catalog.CurrentCatalog;
import io.rhubarbward.crash.CrashSuspects;
import io.rhubarbward.directory.BackendDirectory;
import io.rhubarbward.directory.FleetLimitSplitter;
import io.rhubarbward.directory.ListedServer;
import io.rhubarbward.directory.MarkerSet;
import io.rhubarbward.directory.RouterDirectory;
import io.rhubarbward.directory.RouterPresence;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.forward.CatalogFreshness;
import io.rhubarbward.forward.ForwardContext;
import io.rhubarbward.forward.ForwardMetrics;
import io.rhubarbward.forward.ForwardingService;
import io.rhubarbward.forward.LocalRetryBudget;
import io.rhubarbward.forward.PeerGateway;
import io.rhubarbward.move.FleetRollouts;
import io.rhubarbward.move.RolloutOrder;
import io.rhubarbward.placement.PlacementMetrics;
import io.rhubarbward.placement.PlacementPolicy;
import io.rhubarbward.placement.ServerTable;
import io.rhubarbward.placement.TableRoomEstimate;
import io.rhubarbward.reach.ForwardingPeers;
import io.rhubarbward.reach.ReachState;
import io.rhubarbward.reach.ServerReachability;
import io.rhubarbward.relay.ExchangedState;
import io.rhubarbward.relay.LoadExchange;
import io.rhubarbward.relay.RelayMetrics;
import io.rhubarbward.relay.StoreFollower;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.store.KindListener;
import io.rhubarbward.store.KindWatcher;
import io.rhubarbward.store.ObjectKind;
import io.rhubarbward.store.StoreAvailability;
import io.rhubarbward.store.WatchTiming;
import io.rhubarbward.timer.ClockJumpDetector;
import io.rhubarbward.timer.EventLoopLag;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * A router on the users' platform: wires its components together over {@link FleetPorts}, without
 * sockets or clocks of its own.
 *
 * <pre>{@code
 * FleetRouter router = new FleetRouter(settings, ports);
 * router.start();
 * router.serve(request, response);
 * }</pre>
 *
 * <p>All calls are made on the timer service's thread.
 */
public final class FleetRouter {
    /** How often the clocks are compared, in addition to the comparison at each send. */
    private static final Duration CLOCK_CHECK_PERIOD = Duration.ofMillis(200);

    /** Lateness of the event loop from which what servers have sent is read first. */
    private static final long MIN_UNREAD_SIGNS_MILLIS = 50;

    /** Lateness of the event loop from which it is logged. */
    private static final long MIN_LOGGED_LAG_MILLIS = 200;

    /** Shortest time between two log lines about it. */
    private static final Duration LAG_LOG_INTERVAL = Duration.ofSeconds(1);

    /** Delay before a failed write of this router's entry is retried. */
    private static final Duration ANNOUNCE_RETRY_DELAY = Duration.ofMillis(700);

    /** Time over which routers spread the writes of the entries that a restored store lacks. */
    private static final int ANNOUNCE_SPREAD_MILLIS = 600;

    private final FleetNodeSettings mSettings;
    private final FleetPorts mPorts;
    private final StoreAvailability mStoreAvailability;
    private final CurrentCatalog mCatalog;
    private final MarkerSet<String> mEvacuations;
    private final RouterDirectory mRouters;
    private final CrashSuspects mCrashSuspects;
    private final FleetRollouts mRollouts;
    private final FleetLimitSplitter mLimitSplitter;
    private final AccountUsage mAccountUsage;
    private final RoomEstimate mRoomEstimate;
    private final LoadExchange mLoadExchange;
    private final StoreFollower mStoreFollower;
    private final KindWatcher<Catalog> mCatalogWatcher;
    private final KindWatcher<ListedServer> mServerWatcher;
    private final KindWatcher<String> mEvacuationWatcher;
    private final KindWatcher<RouterPresence> mRouterWatcher;
    private final Optional<KindWatcher<RolloutOrder>> mRolloutWatcher;
    private final ServerReachability mReach;
    private final ForwardingPeers mForwardingPeers;
    private final FleetAdmission mAdmission;
    private final ForwardingService mForwarding;
    private final PeerGateway mPeerGateway;
    private final ClockJumpDetector mClockJumpDetector;
    private final EventLoopLag mLoopLag;
    private long mLagLoggedMillis = Long.MIN_VALUE / 2;
    private boolean mStopping;

    /** Creates the components; nothing runs until {@link #start}. */
    public FleetRouter(FleetNodeSettings settings, FleetPorts ports) {
        mSettings = settings;
        mPorts = ports;
        mStoreAvailability = new StoreAvailability(ports.timers(), ports.events());
        mCatalog = new CurrentCatalog(ports.store().catalogName(), ports.events());
        mEvacuations = new MarkerSet<>(ports.events(), LogEvent.DATA_CENTRE_EMPTIED);
        mRouters = new RouterDirectory(ports.events());
        mClockJumpDetector = new ClockJumpDetector(ports.timers());
        mLoopLag = new EventLoopLag(ports.timers(), CLOCK_CHECK_PERIOD);
        ServerTable table = new ServerTable(ports.timers(), ports.events());
        PlacementMetrics.register(ports.metrics(), table);
        table.subscribeToRemovals(
                removed -> ports.backends().evictIdleConnections(removed.server().address()));
        BackendDirectory directory =
                new BackendDirectory(ports.timers(), mStoreAvailability, ports.events(), table);
        mCatalogWatcher = watcher(ports.store().catalogs(), mCatalog, StoreWatchTimings.CATALOG);
        mServerWatcher = watcher(ports.store().servers(), directory, StoreWatchTimings.SERVERS);
        mEvacuationWatcher =
                watcher(ports.store().evacuations(), mEvacuations, StoreWatchTimings.EVACUATIONS);
        mRouterWatcher = watcher(ports.store().routers(), mRouters, StoreWatchTimings.ROUTERS);
        mRollouts = rollouts(table);
        mRolloutWatcher = rolloutWatcher();
        List<KindWatcher<?>> watchers = watchers();
        mStoreFollower =
                new StoreFollower(
                        settings.vm(),
                        settings.dataCentre(),
                        watchers,
                        mStoreAvailability,
                        mRouters::routers,
                        ports.peers(),
                        ports.timers(),
                        ports.events(),
                        this::relistAfterClockJump);
        RelayMetrics.register(ports.metrics(), mStoreFollower, watchers);
        mCrashSuspects = new CrashSuspects(ports.timers(), ports.events());
        mLimitSplitter = new FleetLimitSplitter(settings.vm(), mRouters::names);
        mAccountUsage = new AccountUsage(ports.timers());
        mRoomEstimate = roomEstimate(table);
        mLoadExchange = loadExchange(table);
        mReach =
                new ServerReachability(table, ports.connectProbe(), ports.timers(), ports.events());
        mForwardingPeers = forwardingPeers();
        mAdmission = admission();
        ForwardContext context = forwardContext(table);
        mForwarding = new ForwardingService(context);
        mPeerGateway =
                new PeerGateway(
                        mForwarding,
                        context,
                        () -> primed() && !mStopping,
                        this::catalogVersion,
                        mRouters.names()::contains);
        subscribeToReachability(table, context.metrics());
    }

    private Optional<KindWatcher<RolloutOrder>> rolloutWatcher() {
        return mSettings.bounds().allowsRollouts()
                ? Optional.of(
                        watcher(mPorts.store().rollouts(), mRollouts, StoreWatchTimings.ROLLOUTS))
                : Optional.empty();
    }

    private List<KindWatcher<?>> watchers() {
        return Stream.<KindWatcher<?>>concat(
                        Stream.of(
                                mCatalogWatcher,
                                mServerWatcher,
                                mEvacuationWatcher,
                                mRouterWatcher),
                        mRolloutWatcher.stream())
                .toList();
    }

    private RoomEstimate roomEstimate(ServerTable table) {
        return new TableRoomEstimate(
                mPorts.timers(), table, mLimitSplitter, mEvacuations::contains, mAccountUsage);
    }

    private FleetAdmission admission() {
        return new FleetAdmission(
                mRoomEstimate,
                mAccountUsage,
                mPorts.timers(),
                mPorts.events(),
                new AdmissionMetrics(mPorts.metrics()));
    }

    private LoadExchange loadExchange(ServerTable table) {
        return new LoadExchange(
                mSettings.vm(),
                mSettings.dataCentre(),
                mRouters::routers,
                mStoreFollower::aggregator,
                mPorts.peers(),
                new ExchangedState(
                        mCrashSuspects, mRollouts, table, mAccountUsage, this::needsAccountCounts),
                mPorts.timers());
    }

    private boolean needsAccountCounts(String service) {
        return mCatalog.current()
                .flatMap(catalog -> catalog.service(service))
                .map(mRoomEstimate::room)
                .filter(ServiceRoom::needsAccountCounts)
                .isPresent();
    }

    private ForwardingPeers forwardingPeers() {
        return new ForwardingPeers(
                mSettings.vm(),
                mSettings.dataCentre(),
                mRouters::routers,
                mPorts.backends(),
                mPorts.dialect()::attemptId,
                this::catalogVersion,
                mPorts.timers(),
                mPorts.events());
    }

    private void subscribeToReachability(ServerTable table, ForwardMetrics metrics) {
        mReach.subscribe(mForwardingPeers::onReachState);
        mReach.subscribe(state -> metrics.setServersReachable(state != ReachState.CUT_OFF));
        mReach.subscribe(mForwarding::onReachState);
        mReach.subscribe(state -> evictIdleConnections(state, table));
    }

    /** Connections that were idle while the links were lost may be dead without a reset. */
    private void evictIdleConnections(ReachState state, ServerTable table) {
        if (state == ReachState.CUT_OFF) {
            table.servers()
                    .forEach(
                            server ->
                                    mPorts.backends()
                                            .evictIdleConnections(server.server().address()));
        }
    }

    private long catalogVersion() {
        return mCatalog.current().map(Catalog::version).orElse(0L);
    }

    private <T> KindWatcher<T> watcher(
            ObjectKind<T> kind, KindListener<T> listener, WatchTiming timing) {
        return new KindWatcher<>(
                kind, listener, timing, mPorts.timers(), mStoreAvailability, mPorts.random());
    }

    private FleetRollouts rollouts(ServerTable table) {
        return new FleetRollouts(
                mSettings.bounds().exposureShare(),
                table,
                this::callsStore,
                mPorts.store().rolloutWriter(),
                mPorts.timers(),
                mPorts.events());
    }

    private boolean callsStore() {
        return mStoreFollower.callsStore();
    }

    private ForwardContext forwardContext(ServerTable table) {
        PlacementPolicy policy =
                new PlacementPolicy(
                        mSettings.dataCentre(),
                        mPorts.timers(),
                        table,
                        mLimitSplitter,
                        mEvacuations::contains,
                        mRollouts);
        return new ForwardContext(
                mPorts.dialect(),
                mCatalog,
                new CatalogFreshness(
                        mSettings.bounds().strictRevocation(),
                        mSettings.bounds().revocation(),
                        mCatalogWatcher::stalenessMillis,
                        this::relistAfterClockJump),
                mAdmission,
                policy,
                table,
                new LocalRetryBudget(mSettings.bounds().retries(), mPorts.timers(), mLimitSplitter),
                mCrashSuspects,
                mRollouts,
                mReach,
                mForwardingPeers,
                mPorts.backends(),
                mPorts.timers(),
                this::loopLagMillis,
                mPorts.events(),
                new ForwardMetrics(mPorts.metrics()));
    }

    /** Returns how long a request that is read now may have waited. */
    private long loopLagMillis() {
        return Math.max(mLoopLag.millis(), mPorts.timers().unreadMillis());
    }

    /** Lists this router in the store and starts to follow the store and the other routers. */
    public void start() {
        mPorts.events()
                .log(
                        LogEvent.ROUTER_STARTED,
                        EventField.of("dataCentre", mSettings.dataCentre()),
                        EventField.of("store", mSettings.store()));
        mStoreFollower.start();
        mRouters.subscribeToRestores(this::announceUnlessListed);
        announce();
        mLoadExchange.start();
        mRollouts.start();
        mCrashSuspects.start();
        mAdmission.start();
        mLoopLag.tick();
        mPorts.timers()
                .every(
                        CLOCK_CHECK_PERIOD,
                        () -> {
                            long lagMillis = loopLagMillis();
                            logIfLate(lagMillis);
                            mLoopLag.tick();
                            relistAfterClockJump();
                            checkSilence(lagMillis);
                        });
    }

    /** After a delay of the event loop, signs of the servers may wait to be read. */
    private void checkSilence(long lagMillis) {
        if (lagMillis >= MIN_UNREAD_SIGNS_MILLIS) {
            mPorts.timers().afterReading(Duration.ZERO, mReach::checkSilence);
        } else {
            mReach.checkSilence();
        }
    }

    private void logIfLate(long lateMillis) {
        long now = mPorts.timers().nowMillis();
        if (lateMillis >= MIN_LOGGED_LAG_MILLIS
                && now - mLagLoggedMillis >= LAG_LOG_INTERVAL.toMillis()) {
            mLagLoggedMillis = now;
            mPorts.events()
                    .log(
                            LogEvent.EVENT_LOOP_LATE,
                            EventField.of("lateMs", lateMillis),
                            EventField.of("open", openRequests()));
        }
    }

    private void announce() {
        mPorts.store()
                .presenceWriter()
                .announce(mSettings.vm(), ownPresence())
                .thenAccept(
                        isListed -> {
                            if (!isListed) {
                                mPorts.timers().after(ANNOUNCE_RETRY_DELAY, this::announce);
                            }
                        });
    }

    private void announceUnlessListed(Set<String> listed) {
        if (!listed.contains(mSettings.vm())) {
            mPorts.timers()
                    .after(
                            Duration.ofMillis(mPorts.random().nextInt(ANNOUNCE_SPREAD_MILLIS)),
                            this::announce);
        }
    }

    private RouterPresence ownPresence() {
        return new RouterPresence(
                mSettings.dataCentre(),
                hostAndPort(mSettings.peers()),
                hostAndPort(mSettings.forwarding()),
                mSettings.processorCapacity());
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    /**
     * Lists catalogue, servers and evacuations again if the wall clock and the monotonic clock have
     * moved apart, as after a suspension of the VM; returns whether they have.
     */
    private boolean relistAfterClockJump() {
        long jumpMillis = mClockJumpDetector.takeJumpMillis();
        if (jumpMillis != 0) {
            mPorts.events().log(LogEvent.CLOCK_JUMPED, EventField.of("millis", jumpMillis));
            mStoreFollower.voidOpenRequests();
            mCatalogWatcher.relist();
            mServerWatcher.relist();
            mEvacuationWatcher.relist();
        }
        return jumpMillis != 0;
    }

    /** Returns how many routers use this one as their relay. */
    public int relayFollowers() {
        return mStoreFollower.followers();
    }

    /** Returns whether some request is suspected of crashing backend servers. */
    public boolean suspectsCrashes() {
        return !mCrashSuspects.empty();
    }

    /** Serves a caller's request. */
    public CallerListener serve(CallerRequest request, CallerResponse response) {
        return mForwarding.serve(request, response);
    }

    /** Serves a request that another router forwards, or answers whether this one would. */
    public CallerListener serveForwarded(CallerRequest request, CallerResponse response) {
        return mPeerGateway.serve(request, response);
    }

    /** Returns the catalogue's limits for callers; empty until a catalogue was read. */
    public Optional<CallerLimits> callerLimits() {
        return mCatalog.current().map(Catalog::limits);
    }

    /** Returns whether all that decides where requests go was read from the store once. */
    public boolean primed() {
        return mCatalog.current().isPresent()
                && mServerWatcher.hasListed()
                && mEvacuationWatcher.hasListed()
                && mRolloutWatcher.map(KindWatcher::hasListed).orElse(true);
    }

    /**
     * Returns whether the balancer should send new connections here: not while the router stops,
     * has not read the store, or, under strict revocation, may not know of a revoked key.
     */
    public boolean ready() {
        return !mStopping
                && primed()
                && (!mSettings.bounds().strictRevocation()
                        || mCatalogWatcher.stalenessMillis()
                                < mSettings.bounds().revocation().toMillis());
    }

    /**
     * Makes the router not ready; new requests are still served, except for those that may run only
     * once and could outlast the process.
     *
     * @param left the time until {@link #endOpenRequests}
     */
    public void beginStop(Duration left) {
        mStopping = true;
        mForwarding.beginStop(mPorts.timers().nowMillis() + left.toMillis());
        mStoreFollower.stopRelaying();
        mPorts.events().log(LogEvent.ROUTER_DRAINING, EventField.of("open", openRequests()));
    }

    /** Refuses new requests from now on; open ones go on. */
    public void refuseNew() {
        mForwarding.refuseNew();
    }

    /** Ends the open requests, each with an answer if none has begun. */
    public void endOpenRequests() {
        mForwarding.endOpen();
    }

    /** Returns the number of requests that are being served. */
    public int openRequests() {
        return mForwarding.openRequests();
    }

    /** Returns the number of answers that have ended and are not written to their callers yet. */
    public int undeliveredAnswers() {
        return mForwarding.undeliveredAnswers();
    }
}
