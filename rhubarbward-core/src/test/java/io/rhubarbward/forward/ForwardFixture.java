package io.rhubarbward.forward;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.rhubarbward.catalog.CurrentCatalog;
import io.rhubarbward.catalog.Route;
import io.rhubarbward.directory.FleetLimitSplitter;
import io.rhubarbward.placement.PlacementPolicy;
import io.rhubarbward.placement.ServerTable;
import io.rhubarbward.placement.VersionChoice;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.testing.Catalogs;
import io.rhubarbward.testing.FakeBackends;
import io.rhubarbward.testing.FakeKind;
import io.rhubarbward.testing.Listings;
import io.rhubarbward.testing.PlainDialect;
import io.rhubarbward.testing.RecordingEvents;
import io.rhubarbward.testing.RecordingResponse;
import io.rhubarbward.timer.VirtualTimerService;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Set;

/** One router's forwarding with two plain servers and two engines. */
final class ForwardFixture {
    static final LocalRetryBudget.Bound BOUND =
            new LocalRetryBudget.Bound(0.2, Duration.ofSeconds(10), 50);

    final VirtualTimerService mTimers = new VirtualTimerService();
    final RecordingEvents mEvents = new RecordingEvents();
    final FakeBackends mBackends = new FakeBackends();
    final ServerTable mTable = new ServerTable(mTimers, mEvents);
    final CurrentCatalog mCatalog = new CurrentCatalog("main", mEvents);
    long mCatalogAgeMillis;
    boolean mJumped;
    final ForwardingService mService;

    ForwardFixture(Route... routes) {
        FleetLimitSplitter limitSplitter =
                new FleetLimitSplitter("front-1", () -> Set.of("front-1"));
        mCatalog.onItem(FakeKind.item("main", Catalogs.of(1, routes)));
        mTable.onAdded(Listings.server("o-1", "orders", "a"));
        mTable.onAdded(Listings.server("o-2", "orders", "b"));
        mTable.onAdded(Listings.server("e-1", "chat", "a"));
        mTable.onAdded(Listings.server("e-2", "chat", "b"));
        mService =
                new ForwardingService(
                        new ForwardContext(
                                new PlainDialect(),
                                mCatalog,
                                new CatalogFreshness(
                                        true,
                                        Duration.ofSeconds(5),
                                        () -> mCatalogAgeMillis,
                                        () -> mJumped),
                                new PlacementPolicy(
                                        "a",
                                        mTimers,
                                        mTable,
                                        limitSplitter,
                                        name -> false,
                                        VersionChoice.ANY),
                                mTable,
                                new LocalRetryBudget(BOUND, mTimers, limitSplitter),
                                (server, route, result, firstByteMillis) -> {},
                                mBackends,
                                mTimers,
                                mEvents,
                                new ForwardMetrics(new PrometheusRegistry())));
    }

    static HeaderFields headers(String id) {
        return HeaderFields.of("id", id)
                .with("host", Catalogs.HOST)
                .with("key", Catalogs.KEY)
                .with("patience", "1000");
    }

    Asked ask(String path) {
        return ask(path, headers("r-1"));
    }

    Asked ask(String path, HeaderFields headers) {
        RecordingResponse response = new RecordingResponse();
        CallerListener listener =
                mService.serve(
                        new CallerRequest("POST", path, headers, ByteBuffer.allocate(0)), response);
        return new Asked(response, listener);
    }

    /** Answers the last send with a head that bears the id. */
    FakeBackends.Sent answer(int status, String id, String... flags) {
        HeaderFields head = HeaderFields.of("id", id);
        for (String flag : flags) {
            head = head.with(flag, "1");
        }
        return mBackends.last().head(status, head);
    }

    /** A request and what came of it. */
    record Asked(RecordingResponse response, CallerListener listener) {}
}
