package io.rhubarbward.catalog;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.event.LogEvent;
import io.rhubarbward.store.DecodedObject;
import io.rhubarbward.store.StoreRevision;
import io.rhubarbward.testing.Catalogs;
import io.rhubarbward.testing.FakeObjectKind;
import io.rhubarbward.testing.RecordingEvents;
import io.vavr.control.Either;
import java.util.List;
import org.junit.jupiter.api.Test;

final class CatalogTest {
    private final RecordingEvents mEvents = new RecordingEvents();
    private final CurrentCatalog mCurrentCatalog = new CurrentCatalog("main", mEvents);

    private long currentVersion() {
        return mCurrentCatalog.current().orElseThrow().version();
    }

    @Test
    void theRouteWithTheLongestMatchingPrefixOfTheHostWins() {
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
    void weightsSplitTheUnitIntervalAmongTheServices() {
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
        mCurrentCatalog.onItem(FakeObjectKind.item("main", Catalogs.of(7)));
        mCurrentCatalog.onItem(FakeObjectKind.item("main", Catalogs.of(5)));
        assertThat(currentVersion()).isEqualTo(7);
        mCurrentCatalog.onSnapshot(List.of(FakeObjectKind.item("main", Catalogs.of(6))));
        assertThat(currentVersion()).isEqualTo(7);
        mCurrentCatalog.onItem(FakeObjectKind.item("main", Catalogs.of(12)));
        assertThat(currentVersion()).isEqualTo(12);
        assertThat(mEvents.logged()).contains(LogEvent.CONFIG_OLDER_IGNORED);
    }

    /** Guards against a revoked key that is trusted since the store was restored without it. */
    @Test
    void aStoreThatLostTheCurrentCatalogDoesNotConfirmIt() {
        mCurrentCatalog.onItem(FakeObjectKind.item("main", Catalogs.of(7)));
        assertThat(mCurrentCatalog.storeIsUpToDate()).isTrue();
        mCurrentCatalog.onSnapshot(List.of(FakeObjectKind.item("main", Catalogs.of(5))));
        assertThat(mCurrentCatalog.storeIsUpToDate()).isFalse();
        mCurrentCatalog.onDeleted("main");
        assertThat(mCurrentCatalog.storeIsUpToDate()).isFalse();
        mCurrentCatalog.onItem(FakeObjectKind.item("main", Catalogs.of(7)));
        assertThat(mCurrentCatalog.storeIsUpToDate()).isTrue();
    }

    @Test
    void undecodableForeignAndDeletedObjectsKeepTheCurrentCatalog() {
        mCurrentCatalog.onItem(FakeObjectKind.item("main", Catalogs.of(7)));
        mCurrentCatalog.onItem(
                new DecodedObject<>(
                        "main", new StoreRevision(0, 9), Either.left("kind=x"), () -> "{}"));
        mCurrentCatalog.onItem(FakeObjectKind.item("draft", Catalogs.of(99)));
        mCurrentCatalog.onDeleted("main");
        assertThat(currentVersion()).isEqualTo(7);
        assertThat(mEvents.logged()).contains(LogEvent.CONFIG_REFUSED);
    }
}
