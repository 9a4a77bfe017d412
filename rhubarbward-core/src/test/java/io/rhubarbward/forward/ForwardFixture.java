package io.rhubarbward.forward;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.rhubarbward.admission.AccountUsage;
import io.rhubarbward.admission.AdmissionMetrics;
import io.rhubarbward.admission.FleetAdmission;
import io.rhubarbward.admission.ServiceRoom;
import io.rhubarbward.catalog.Catalog;
import io.rhubarbward.catalog.CurrentCatalog;
import io.rhubarbward.catalog.Route;
import io.rhubarbward.crash.CrashSuspects;
import io.rhubarbward.directory.FleetLimitSplitter;
import io.rhubarbward.directory.RouterPresence;
import io.rhubarbward.placement.PlacementPolicy;
import io.rhubarbward.placement.SendResult;
import io.rhubarbward.placement.ServerTable;
import io.rhubarbward.placement.TrackedServer;
import io.rhubarbward.placement.VersionChoice;
import io.rhubarbward.reach.ForwardingPeers;
import io.rhubarbward.reach.ReachState;
import io.rhubarbward.reach.Reachability;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.testing.Catalogs;
import io.rhubarbward.testing.FakeBackends;
import io.rhubarbward.testing.FakeObjectKind;
import io.rhubarbward.testing.FakeRequestDialect;
import io.rhubarbward.testing.ListedServers;
import io.rhubarbward.testing.RecordingEvents;
import io.rhubarbward.testing.RecordingResponse;
import io.rhubarbward.timer.VirtualTimerService;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A forwarding service with two plain servers, two engines and a fake backend client. */
final class ForwardFixture {
    static final LocalRetryBudget.Bound RETRY_BOUND =
            new LocalRetryBudget.Bound(0.2, Duration.ofSeconds(10), 50);

    final VirtualTimerService mTimers = new VirtualTimerService();
    final RecordingEvents mEvents = new RecordingEvents();
    final FakeBackends mBackends = new FakeBackends();
    final ServerTable mTable = new ServerTable(mTimers, mEvents);
    final CrashSuspects mCrashSuspects = new CrashSuspects(mTimers, mEvents);
    final CurrentCatalog mCatalog = new CurrentCatalog("main", mEvents);
    long mCatalogAgeMillis;
    boolean mClockJumped;
    long mLoopLagMillis;
    ReachState mReachState = ReachState.CONNECTED;
    final ForwardingPeers mPeers =
            new ForwardingPeers(
                    "front-1",
                    "a",
                    ForwardFixture::routers,
                    mBackends,
                    id -> HeaderFields.of("id", id),
                    () -> 7,
                    mTimers,
                    mEvents);
    ServiceRoom mRoom = new ServiceRoom(0, 0, 0);
    final AccountUsage mUsage = new AccountUsage(mTimers);
    final FleetAdmission mAdmission =
            new FleetAdmission(
                    service -> mRoom,
                    mUsage,
                    mTimers,
                    mEvents,
                    new AdmissionMetrics(new PrometheusRegistry()));
    final ForwardContext mContext;
    final ForwardingService mService;

    ForwardFixture(Route... routes) {
        FleetLimitSplitter limitSplitter =
                new FleetLimitSplitter("front-1", () -> Set.of("front-1"));
        mCatalog.onItem(FakeObjectKind.item("main", Catalogs.of(1, routes)));
        mTable.onAdded(ListedServers.server("o-1", "orders", "a"));
        mTable.onAdded(ListedServers.server("o-2", "orders", "b"));
        mTable.onAdded(ListedServers.server("e-1", "chat", "a"));
        mTable.onAdded(ListedServers.server("e-2", "chat", "b"));
        mContext =
                new ForwardContext(
                        new FakeRequestDialect(),
                        mCatalog,
                        new CatalogFreshness(
                                true,
                                Duration.ofSeconds(5),
                                () -> mCatalogAgeMillis,
                                () -> mClockJumped),
                        mAdmission,
                        new PlacementPolicy(
                                "a",
                                mTimers,
                                mTable,
                                limitSplitter,
                                name -> false,
                                VersionChoice.ANY),
                        mTable,
                        new LocalRetryBudget(RETRY_BOUND, mTimers, limitSplitter),
                        mCrashSuspects,
                        SendObserver.NONE,
                        reachability(),
                        mPeers,
                        mBackends,
                        mTimers,
                        () -> mLoopLagMillis,
                        mEvents,
                        new ForwardMetrics(new PrometheusRegistry()));
        mService = new ForwardingService(mContext);
    }

    /** Makes the catalogue the one in the store. */
    void publish(Catalog catalog) {
        mCatalog.onItem(FakeObjectKind.item("main", catalog));
    }

    private static Map<String, RouterPresence> routers() {
        return Map.of(
                "front-2", new RouterPresence("a", "front-2:1", "front-2:2", 1),
                "front-3", new RouterPresence("b", "front-3:1", "front-3:2", 1),
                "front-4", new RouterPresence("c", "front-4:1", 1));
    }

    /** Returns a reachability whose state the test sets. */
    private Reachability reachability() {
        return new Reachability() {
            @Override
            public ReachState state() {
                return mReachState;
            }

            @Override
            public void onSent(Object call, TrackedServer server) {}

            @Override
            public void onHeard(Object call) {}

            @Override
            public SendResult onEnded(
                    Object call, TrackedServer server, SendResult result, Runnable ifServersFault) {
                return result;
            }

            @Override
            public void whenConfirmed(long sentMillis, Runnable action) {
                action.run();
            }
        };
    }

    /** Cuts this router off from the servers; the named routers answer that they forward. */
    void cutOff(String... willing) {
        mReachState = ReachState.CUT_OFF;
        mPeers.onReachState(mReachState);
        mBackends.sent().stream()
                .filter(sent -> sent.request().headers().first("router-query-by").isPresent())
                .toList()
                .forEach(
                        query ->
                                query.head(
                                                List.of(willing).contains(query.server())
                                                        ? 200
                                                        : 503,
                                                HeaderFields.of("router-catalog-version", "9"))
                                        .complete());
        mService.onReachState(mReachState);
    }

    static HeaderFields headers(String id) {
        return HeaderFields.of("id", id)
                .with("host", Catalogs.HOST)
                .with("key", Catalogs.API_KEY)
                .with("patience", "1000");
    }

    PendingRequest send(String path) {
        return send(path, headers("r-1"));
    }

    /** Sends a request whose caller has left, of which its listener is not told yet. */
    PendingRequest sendOfCallerThatLeft(String path) {
        RecordingResponse response = new RecordingResponse();
        response.callerLeaves();
        return send(path, headers("r-1"), response);
    }

    PendingRequest send(String path, HeaderFields headers) {
        return send(path, headers, new RecordingResponse());
    }

    private PendingRequest send(String path, HeaderFields headers, RecordingResponse response) {
        CallerListener listener =
                mService.serve(
                        new CallerRequest("POST", path, headers, ByteBuffer.allocate(0)), response);
        return new PendingRequest(response, listener);
    }

    /**
     * Answers the last send with a head that has the attempt id, and each flag as a header field.
     */
    FakeBackends.Sent answer(int status, String id, String... flags) {
        HeaderFields head = HeaderFields.of("id", id);
        for (String flag : flags) {
            head = head.with(flag, "1");
        }
        return mBackends.last().head(status, head);
    }

    /** A caller's request: its response and the listener for its connection. */
    record PendingRequest(RecordingResponse response, CallerListener listener) {}
}
