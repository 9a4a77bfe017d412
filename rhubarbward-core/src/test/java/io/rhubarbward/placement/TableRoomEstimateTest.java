package io.rhubarbward.placement;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.admission.AccountUsage;
import io.rhubarbward.admission.ServiceRoom;
import io.rhubarbward.catalog.EngineCapacity;
import io.rhubarbward.catalog.ServiceProfile;
import io.rhubarbward.directory.FleetLimitSplitter;
import io.rhubarbward.testing.ListedServers;
import io.rhubarbward.testing.RecordingEvents;
import io.rhubarbward.timer.VirtualTimerService;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Two engines with 8 slots each in data centres a and b: 24 places. */
final class TableRoomEstimateTest {
    private static final ServiceProfile PROFILE =
            new ServiceProfile(
                    "chat",
                    100,
                    Duration.ZERO,
                    0,
                    true,
                    Optional.of(new EngineCapacity(8, 80_000)));

    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final ServerTable mTable = new ServerTable(mTimers, new RecordingEvents());
    private final Set<String> mRouters = new TreeSet<>(Set.of("front-1", "front-2", "front-3"));
    private final Set<String> mEvacuated = new HashSet<>();
    private final AccountUsage mUsage = new AccountUsage(mTimers);
    private final TableRoomEstimate mEstimate =
            new TableRoomEstimate(
                    mTimers,
                    mTable,
                    new FleetLimitSplitter("front-1", () -> mRouters),
                    mEvacuated::contains,
                    mUsage);

    TableRoomEstimateTest() {
        mTable.onAdded(ListedServers.server("e-0", "chat", "a"));
        mTable.onAdded(ListedServers.server("e-1", "chat", "b"));
        mTable.onAdded(ListedServers.server("o-0", "orders", "a"));
    }

    private TrackedServer server(String id) {
        return mTable.servers().stream()
                .filter(server -> server.server().name().equals(id))
                .findFirst()
                .orElseThrow();
    }

    private void sendOwn(String id, int count, double places) {
        for (int request = 0; request < count; request++) {
            mTable.recordSend(server(id));
            mUsage.add("chat", "acme", places);
        }
    }

    private void hearOthers(int atFirst, int atSecond) {
        mTable.updateInFlightFromOthers(
                Map.of(TrackedServer.hash("e-0"), atFirst, TrackedServer.hash("e-1"), atSecond));
    }

    @Test
    void freshFiguresOfOthersGiveTheRoomOfTheWholeFleet() {
        sendOwn("e-0", 2, 1);
        hearOthers(5, 3);
        mTimers.advance(Duration.ofMillis(100));
        assertThat(mEstimate.room(PROFILE)).isEqualTo(new ServiceRoom(24, 10, 100));
    }

    /** Otherwise, a fleet whose requests are large would admit more than its memory holds. */
    @Test
    void requestsOfOthersCostAsMuchAsOwnOnesInTheMean() {
        sendOwn("e-0", 1, 1);
        sendOwn("e-1", 1, 4);
        hearOthers(2, 2);
        assertThat(mEstimate.room(PROFILE).occupied()).isEqualTo(15.0);
    }

    @Test
    void withoutOwnRequestsEachRequestCostsOnePlace() {
        hearOthers(2, 2);
        assertThat(mEstimate.room(PROFILE).occupied()).isEqualTo(4.0);
    }

    /** Between two attempts, a request has places but is not in flight. */
    @Test
    void theMeanCostStaysWithinWhatARequestCanTake() {
        sendOwn("e-0", 1, 1);
        mUsage.add("chat", "acme", 100);
        assertThat(mEstimate.room(PROFILE).occupied()).isEqualTo(8.0);
        mUsage.remove("chat", "acme", 101);
        assertThat(mEstimate.room(PROFILE).occupied()).isEqualTo(1.0);
    }

    /** A router must not count on figures that have ceased to come, nor on the whole fleet. */
    @Test
    void withOldFiguresARouterKeepsToItsShareAndItsOwnRequests() {
        sendOwn("e-0", 2, 1.5);
        hearOthers(5, 3);
        mTimers.advance(Duration.ofMillis(1499));
        assertThat(mEstimate.room(PROFILE)).isEqualTo(new ServiceRoom(24, 15, 1499));
        mTimers.advance(Duration.ofMillis(1));
        assertThat(mEstimate.room(PROFILE)).isEqualTo(new ServiceRoom(8, 3, 1500));
    }

    /** The servers' own reports include the requests of all routers, which is not this one's. */
    @Test
    void withoutFiguresOfOthersTheServersReportsDoNotCount() {
        sendOwn("e-0", 2, 1);
        server("e-0").recordLoad(new ServerLoad(8, 4, 8), mTimers.nowMillis());
        ServiceRoom room = mEstimate.room(PROFILE);
        assertThat(room.capacity()).isEqualTo(8.0);
        assertThat(room.occupied()).isEqualTo(2.0);
        assertThat(room.ageMillis()).isGreaterThan(1500L);
    }

    @Test
    void aRouterThatIsNotListedYetTakesASmallShare() {
        mRouters.remove("front-1");
        assertThat(mEstimate.room(PROFILE).capacity()).isEqualTo(24.0 / 16);
    }

    /** What only servers hold that take nothing new is not room for new requests. */
    @Test
    void serversThatTakeNothingNewDoNotCount() {
        sendOwn("e-1", 2, 1);
        hearOthers(5, 3);
        mEvacuated.add("b");
        assertThat(mEstimate.room(PROFILE)).isEqualTo(new ServiceRoom(12, 5, 0));
        mEvacuated.clear();
        mTable.recordLeaving(server("e-0"));
        assertThat(mEstimate.room(PROFILE)).isEqualTo(new ServiceRoom(12, 5, 0));
        mTable.recordRest(server("e-1"), Duration.ofSeconds(1));
        assertThat(mEstimate.room(PROFILE)).isEqualTo(new ServiceRoom(0, 0, 0));
        assertThat(mEstimate.room(PROFILE).utilisation(0)).isEqualTo(1.0);
    }

    @Test
    void aRecentReportOfAServerCountsIfItIsHigher() {
        hearOthers(1, 1);
        server("e-0").recordLoad(new ServerLoad(8, 4, 8), mTimers.nowMillis());
        assertThat(mEstimate.room(PROFILE).occupied()).isEqualTo(13.0);
    }

    /** Counts by account are needed from half of the capacity on. */
    @Test
    void accountCountsAreNeededFromHalfOfTheCapacityOn() {
        hearOthers(6, 5);
        assertThat(mEstimate.room(PROFILE).needsAccountCounts()).isFalse();
        hearOthers(6, 6);
        assertThat(mEstimate.room(PROFILE).needsAccountCounts()).isTrue();
    }
}
