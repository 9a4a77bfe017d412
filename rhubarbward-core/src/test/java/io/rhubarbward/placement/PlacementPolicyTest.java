package io.rhubarbward.placement;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.directory.FleetLimitSplitter;
import io.rhubarbward.directory.ListedServer;
import io.rhubarbward.testing.Catalogs;
import io.rhubarbward.testing.ListedServers;
import io.rhubarbward.testing.RecordingEvents;
import io.rhubarbward.timer.VirtualTimerService;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class PlacementPolicyTest {
    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final ServerTable mTable = new ServerTable(mTimers, new RecordingEvents());
    private final Set<String> mRouters = new TreeSet<>(Set.of("front-1"));
    private final Set<String> mEvacuated = new HashSet<>();
    private final PlacementPolicy mPolicy = policy("a");

    private PlacementPolicy policy(String homeDataCentre) {
        return new PlacementPolicy(
                homeDataCentre,
                mTimers,
                mTable,
                new FleetLimitSplitter("front-1", () -> mRouters),
                mEvacuated::contains,
                VersionChoice.ANY);
    }

    private void addEngines(int count) {
        IntStream.range(0, count)
                .forEach(
                        index ->
                                mTable.onAdded(
                                        ListedServers.server(
                                                "e-" + index, "chat", index % 2 == 0 ? "a" : "b")));
    }

    private static ListedServer serverWith64Slots(String id, String dataCentre) {
        return new ListedServer(
                ListedServers.server(id, "chat", dataCentre).server(),
                64,
                false,
                Duration.ZERO,
                0,
                1);
    }

    private static PlacementQuery query(String affinityKey) {
        return new PlacementQuery("chat", Optional.of(affinityKey), 10_000, 0.5, Set.of());
    }

    private Placement.Chosen place(String affinityKey) {
        Placement placement = mPolicy.place(query(affinityKey), Catalogs.ENGINE_SERVICE);
        assertThat(placement).isInstanceOf(Placement.Chosen.class);
        return (Placement.Chosen) placement;
    }

    @Test
    void requestsWithTheSameAffinityKeyGoToOneServerFromEveryDataCentre() {
        addEngines(6);
        TrackedServer chosen = place("part-7").server();
        assertThat(place("part-7").server()).isSameInstanceAs(chosen);
        Placement fromOtherDataCentre = policy("b").place(query("part-7"), Catalogs.ENGINE_SERVICE);
        assertThat(((Placement.Chosen) fromOtherDataCentre).server()).isSameInstanceAs(chosen);
    }

    @Test
    void aPopularAffinityKeySpillsBeforeItsServerExceedsTwiceTheMeanLoad() {
        addEngines(6);
        double maxExcess = 0;
        for (int request = 0; request < 20; request++) {
            TrackedServer server = place("hot").server();
            mTable.recordSend(server);
            double mean = (request + 1) / 6.0;
            maxExcess = Math.max(maxExcess, server.inFlight() - 2 * mean - 3);
        }
        assertThat(maxExcess).isAtMost(0.0);
    }

    /**
     * With a third of the servers idle in an evacuated data centre, the others may carry only half
     * as much.
     */
    @Test
    void unusableServersCountInTheMeanLoad() {
        List.of("a", "b", "c")
                .forEach(
                        dataCentre ->
                                IntStream.range(0, 3)
                                        .forEach(
                                                index ->
                                                        mTable.onAdded(
                                                                serverWith64Slots(
                                                                        dataCentre + index,
                                                                        dataCentre))));
        mEvacuated.add("c");
        List<TrackedServer> used =
                mTable.servers("chat").stream()
                        .filter(server -> !server.server().dataCentre().equals("c"))
                        .toList();
        used.forEach(server -> IntStream.range(0, 20).forEach(sent -> mTable.recordSend(server)));
        double maxExcess = 0;
        for (int request = 0; request < 40; request++) {
            TrackedServer server = place("hot").server();
            mTable.recordSend(server);
            double mean = (120.0 + request + 1) / 9;
            maxExcess = Math.max(maxExcess, server.inFlight() - 2 * mean - 3);
        }
        assertThat(maxExcess).isAtMost(0.0);
    }

    @Test
    void aColdServerGetsThisRoutersShareOfTheColdRateEachSecond() {
        IntStream.range(2, 10).forEach(index -> mRouters.add("front-" + index));
        mTable.onAdded(ListedServers.server("e-1", "chat", "a", Duration.ofSeconds(3), false, 1));
        int sent = 0;
        while (mPolicy.place(query("p"), Catalogs.ENGINE_SERVICE)
                instanceof Placement.Chosen chosen) {
            mTable.recordSend(chosen.server());
            sent++;
        }
        assertThat(sent * mRouters.size())
                .isAtMost((int) (Catalogs.ENGINE_SERVICE.coldRequestsPerSecond() * 1.5 + 5));
        assertThat(sent).isGreaterThan(0);
        Placement none = mPolicy.place(query("p"), Catalogs.ENGINE_SERVICE);
        assertThat(((Placement.None) none).cause()).isEqualTo(Placement.Cause.COLD);
        mTimers.advance(Duration.ofMillis(3001));
        assertThat(place("p").server().server().name()).isEqualTo("e-1");
    }

    @Test
    void aServerThatMayHaveRestartedIsTreatedAsCold() {
        addEngines(1);
        TrackedServer server = place("p").server();
        mTable.recordSend(server);
        mTable.recordResult(server, SendResult.RESET, Catalogs.ENGINE_SERVICE.coldStart());
        mTimers.advance(Duration.ofMillis(600));
        IntStream.range(0, 20).forEach(index -> mTable.recordSend(server));
        Placement none = mPolicy.place(query("p"), Catalogs.ENGINE_SERVICE);
        assertThat(((Placement.None) none).cause()).isEqualTo(Placement.Cause.COLD);
    }

    @Test
    void evacuatedDataCentresAndDrainingServersGetNoRequests() {
        addEngines(2);
        mEvacuated.add("a");
        assertThat(place("p").server().server().name()).isEqualTo("e-1");
        mTable.onUpdated(ListedServers.server("e-1", "chat", "b", Duration.ZERO, true, 1));
        Placement none = mPolicy.place(query("p"), Catalogs.ENGINE_SERVICE);
        assertThat(((Placement.None) none).cause()).isEqualTo(Placement.Cause.NONE_USABLE);
    }

    @Test
    void aServerWithAHighFailureRateIsAvoidedWhileOthersAreHealthy() {
        addEngines(2);
        TrackedServer failing = place("p").server();
        for (int request = 0; request < 6; request++) {
            mTable.recordSend(failing);
            mTable.recordResult(
                    failing,
                    request % 2 == 0 ? SendResult.SERVER_ERROR : SendResult.ANSWERED,
                    Duration.ZERO);
        }
        assertThat(place("p").server()).isNotSameInstanceAs(failing);
        mTimers.advance(Duration.ofSeconds(2));
        assertThat(place("p").server()).isSameInstanceAs(failing);
    }

    @Test
    void refusesAtOnceWhenEveryServerIsFull() {
        addEngines(2);
        mTable.servers("chat")
                .forEach(server -> server.recordLoad(new ServerLoad(8, 8, 8), mTimers.nowMillis()));
        Placement none = mPolicy.place(query("p"), Catalogs.ENGINE_SERVICE);
        assertThat(((Placement.None) none).cause()).isEqualTo(Placement.Cause.FULL);
    }
}
