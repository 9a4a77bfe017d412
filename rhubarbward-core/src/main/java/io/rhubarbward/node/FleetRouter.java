package io.rhubarbward.node;

import io.rhubarbward.catalog.CallerLimits;
import io.rhubarbward.catalog.Catalog;
import io.rhubarbward.catalog.CurrentCatalog;
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
import io.rhubarbward.gossip.LoadGossip;
import io.rhubarbward.placement.PlacementPolicy;
import io.rhubarbward.placement.ServerTable;
import io.rhubarbward.placement.VersionChoice;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.store.KindListener;
import io.rhubarbward.store.KindWatcher;
import io.rhubarbward.store.ObjectKind;
import io.rhubarbward.store.StoreAvailability;
import io.rhubarbward.timer.ClockJumpDetector;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

/**
 * One router of the fleet: all slices put together, without sockets or clocks of its own.
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
    /** Wait of the watch that confirms keys; several fit into the time for revocation. */
    private static final Duration CATALOG_WAIT = Duration.ofMillis(1500);

    /** Wait of the other watches; each return costs a call and confirms nothing that is needed. */
    private static final Duration WAIT = Duration.ofSeconds(12);

    /** How often the clocks are compared besides at each send. */
    private static final Duration CLOCK_CHECK_PERIOD = Duration.ofMillis(200);

    /** Pause before listing itself in the store is tried again. */
    private static final Duration ANNOUNCE_PAUSE = Duration.ofMillis(700);

    private final FleetNodeSettings mSettings;
    private final FleetPorts mPorts;
    private final StoreAvailability mStoreAvailability;
    private final CurrentCatalog mCatalog;
    private final MarkerSet<String> mEmptied;
    private final RouterDirectory mRouters;
    private final LoadGossip mGossip;
    private final KindWatcher<Catalog> mCatalogWatcher;
    private final KindWatcher<ListedServer> mServerWatcher;
    private final KindWatcher<String> mEmptiedWatcher;
    private final KindWatcher<RouterPresence> mRouterWatcher;
    private final ForwardingService mForwarding;
    private final ClockJumpDetector mClockJumpDetector;
    private boolean mStopping;

    /** Puts the slices together; nothing runs until {@link #start}. */
    public FleetRouter(FleetNodeSettings settings, FleetPorts ports) {
        mSettings = settings;
        mPorts = ports;
        mStoreAvailability = new StoreAvailability(ports.timers(), ports.events());
        mCatalog = new CurrentCatalog(ports.store().catalogName(), ports.events());
        mEmptied = new MarkerSet<>(ports.events(), LogEvent.DATA_CENTRE_EMPTIED);
        mRouters = new RouterDirectory(ports.events());
        mClockJumpDetector = new ClockJumpDetector(ports.timers());
        ServerTable table = new ServerTable(ports.timers(), ports.events());
        table.subscribeToRemovals(gone -> ports.backends().forget(gone.server().address()));
        BackendDirectory directory =
                new BackendDirectory(ports.timers(), mStoreAvailability, ports.events(), table);
        mCatalogWatcher = watcher(ports.store().catalogs(), mCatalog, CATALOG_WAIT);
        mServerWatcher = watcher(ports.store().servers(), directory, WAIT);
        mEmptiedWatcher = watcher(ports.store().emptied(), mEmptied, WAIT);
        mRouterWatcher = watcher(ports.store().routers(), mRouters, WAIT);
        mGossip =
                new LoadGossip(
                        settings.vm(), mRouters::routers, ports.peers(), table, ports.timers());
        mForwarding = new ForwardingService(context(table));
    }

    private <T> KindWatcher<T> watcher(
            ObjectKind<T> kind, KindListener<T> listener, Duration wait) {
        return new KindWatcher<>(
                kind, listener, wait, mPorts.timers(), mStoreAvailability, mPorts.random());
    }

    private ForwardContext context(ServerTable table) {
        FleetLimitSplitter limitSplitter = new FleetLimitSplitter(mSettings.vm(), mRouters::names);
        PlacementPolicy policy =
                new PlacementPolicy(
                        mSettings.dataCentre(),
                        mPorts.timers(),
                        table,
                        limitSplitter,
                        mEmptied::contains,
                        VersionChoice.ANY);
        return new ForwardContext(
                mPorts.dialect(),
                mCatalog,
                new CatalogFreshness(
                        mSettings.bounds().strictRevocation(),
                        mSettings.bounds().revocation(),
                        mCatalogWatcher::stalenessMillis,
                        this::checkClocks),
                policy,
                table,
                new LocalRetryBudget(mSettings.bounds().retries(), mPorts.timers(), limitSplitter),
                (server, route, result, firstByteMillis) -> {},
                mPorts.backends(),
                mPorts.timers(),
                mPorts.events(),
                new ForwardMetrics(mPorts.metrics()));
    }

    /** Starts to follow the store. */
    public void start() {
        mPorts.events()
                .log(
                        LogEvent.ROUTER_STARTED,
                        EventField.of("dataCentre", mSettings.dataCentre()),
                        EventField.of("store", mSettings.store()));
        mCatalogWatcher.start();
        mServerWatcher.start();
        mEmptiedWatcher.start();
        announce();
        mRouterWatcher.start();
        mGossip.start();
        mPorts.timers().every(CLOCK_CHECK_PERIOD, this::checkClocks);
    }

    private void announce() {
        mPorts.store()
                .presence()
                .announce(mSettings.vm(), presence())
                .thenAccept(
                        listed -> {
                            if (!listed) {
                                mPorts.timers().after(ANNOUNCE_PAUSE, this::announce);
                            }
                        });
    }

    private RouterPresence presence() {
        InetSocketAddress peers = mSettings.peers();
        return new RouterPresence(
                mSettings.dataCentre(), peers.getHostString() + ":" + peers.getPort());
    }

    /** Reads everything again after a pause of the VM; returns whether that is still under way. */
    private boolean checkClocks() {
        long jumped = mClockJumpDetector.takeJumpMillis();
        if (jumped != 0) {
            mPorts.events().log(LogEvent.CLOCK_JUMPED, EventField.of("millis", jumped));
            mCatalogWatcher.relist();
            mServerWatcher.relist();
            mEmptiedWatcher.relist();
        }
        return jumped != 0;
    }

    /** Serves a caller's request. */
    public CallerListener serve(CallerRequest request, CallerResponse response) {
        return mForwarding.serve(request, response);
    }

    /** Returns what callers may send, as the catalogue has it. */
    public Optional<CallerLimits> limits() {
        return mCatalog.current().map(Catalog::limits);
    }

    /** Returns whether all that is needed to serve was read from the store once. */
    public boolean primed() {
        return mCatalog.current().isPresent()
                && mServerWatcher.hasListed()
                && mEmptiedWatcher.hasListed();
    }

    /** Returns whether the balancer should send new connections here. */
    public boolean ready() {
        return !mStopping
                && primed()
                && (!mSettings.bounds().strictRevocation()
                        || mCatalogWatcher.stalenessMillis()
                                < mSettings.bounds().revocation().toMillis());
    }

    /** Is not ready from now on; requests that come are still served. */
    public void beginStop() {
        mStopping = true;
        mPorts.events().log(LogEvent.ROUTER_DRAINING, EventField.of("open", open()));
    }

    /** Refuses requests that come from now on. */
    public void refuseNew() {
        mForwarding.refuseNew();
    }

    /** Returns the number of requests that are being served. */
    public int open() {
        return mForwarding.openRequests();
    }
}
