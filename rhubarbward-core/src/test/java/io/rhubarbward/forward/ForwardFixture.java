package io.rhubarbward.forward;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.rhubarbward.catalog.CurrentCatalog;
import io.rhubarbward.catalog.Route;
import io.rhubarbward.crash.CrashSuspects;
import io.rhubarbward.directory.FleetLimitSplitter;
import io.rhubarbward.placement.PlacementPolicy;
import io.rhubarbward.placement.ServerTable;
import io.rhubarbward.placement.VersionChoice;
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
    final ForwardingService mService;

    ForwardFixture(Route... routes) {
        FleetLimitSplitter limitSplitter =
                new FleetLimitSplitter("front-1", () -> Set.of("front-1"));
        mCatalog.onItem(FakeObjectKind.item("main", Catalogs.of(1, routes)));
        mTable.onAdded(ListedServers.server("o-1", "orders", "a"));
        mTable.onAdded(ListedServers.server("o-2", "orders", "b"));
        mTable.onAdded(ListedServers.server("e-1", "chat", "a"));
        mTable.onAdded(ListedServers.server("e-2", "chat", "b"));
        mService =
                new ForwardingService(
                        new ForwardContext(
                                new FakeRequestDialect(),
                                mCatalog,
                                new CatalogFreshness(
                                        true,
                                        Duration.ofSeconds(5),
                                        () -> mCatalogAgeMillis,
                                        () -> mClockJumped),
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
                                mBackends,
                                mTimers,
                                () -> mLoopLagMillis,
                                mEvents,
                                new ForwardMetrics(new PrometheusRegistry())));
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

    PendingRequest send(String path, HeaderFields headers) {
        RecordingResponse response = new RecordingResponse();
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
