package io.rhubarbward.catalog;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.event.LogEvent;
import io.rhubarbward.store.DecodedObject;
import io.rhubarbward.testing.Catalogs;
import io.rhubarbward.testing.FakeKind;
import io.rhubarbward.testing.RecordingEvents;
import io.vavr.control.Either;
import java.util.List;
import org.junit.jupiter.api.Test;

final class CatalogTest {
    private final RecordingEvents mEvents = new RecordingEvents();
    private final CurrentCatalog mInForce = new CurrentCatalog("main", mEvents);

    private long version() {
        return mInForce.current().orElseThrow().version();
    }

    @Test
    void theLongestPrefixOfTheHostWins() {
        Catalog catalog =
                Catalogs.of(
                        1,
                        Catalogs.route("short", "/a/", RouteKind.IDEMPOTENT),
                        Catalogs.route("long", "/a/b/", RouteKind.IDEMPOTENT));
        assertThat(catalog.route(Catalogs.HOST, "/a/b/c").orElseThrow().name()).isEqualTo("long");
        assertThat(catalog.route(Catalogs.HOST, "/a/x").orElseThrow().name()).isEqualTo("short");
        assertThat(catalog.route("other.example", "/a/x")).isEmpty();
        assertThat(catalog.route(Catalogs.HOST, "/b")).isEmpty();
    }

    @Test
    void weightsSplitTheUnitInterval() {
        Route route =
                Catalogs.route(
                        "split",
                        RouteKind.IDEMPOTENT,
                        List.of(new WeightedService("a", 90), new WeightedService("b", 10)));
        assertThat(route.service(0)).isEqualTo("a");
        assertThat(route.service(0.899)).isEqualTo("a");
        assertThat(route.service(0.901)).isEqualTo("b");
        assertThat(route.service(0.999)).isEqualTo("b");
    }

    @Test
    void aLowerVersionNeverReplacesAHigherOne() {
        mInForce.onItem(FakeKind.item("main", Catalogs.of(7)));
        mInForce.onItem(FakeKind.item("main", Catalogs.of(5)));
        assertThat(version()).isEqualTo(7);
        mInForce.onSnapshot(List.of(FakeKind.item("main", Catalogs.of(6))));
        assertThat(version()).isEqualTo(7);
        mInForce.onItem(FakeKind.item("main", Catalogs.of(12)));
        assertThat(version()).isEqualTo(12);
        assertThat(mEvents.logged()).contains(LogEvent.CONFIG_OLDER_IGNORED);
    }

    @Test
    void whatCannotBeReadLeavesTheOldOneInForce() {
        mInForce.onItem(FakeKind.item("main", Catalogs.of(7)));
        mInForce.onItem(new DecodedObject<>("main", 9, Either.left("kind=x")));
        mInForce.onItem(FakeKind.item("draft", Catalogs.of(99)));
        mInForce.onDeleted("main");
        assertThat(version()).isEqualTo(7);
        assertThat(mEvents.logged()).contains(LogEvent.CONFIG_REFUSED);
    }
}
