package io.rhubarbward.placement;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.directory.FleetLimitSplitter;
import io.rhubarbward.directory.ListedServer;
import io.rhubarbward.testing.Catalogs;
import io.rhubarbward.testing.Listings;
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
    private final Set<String> mEmptied = new HashSet<>();
    private final PlacementPolicy mPolicy = policy("a");

    private PlacementPolicy policy(String home) {
        return new PlacementPolicy(
                home,
                mTimers,
                mTable,
                new FleetLimitSplitter("front-1", () -> mRouters),
                mEmptied::contains,
                VersionChoice.ANY);
    }

    private void engines(int count) {
        IntStream.range(0, count)
                .forEach(
                        index ->
                                mTable.onAdded(
                                        Listings.server(
                                                "e-" + index, "chat", index % 2 == 0 ? "a" : "b")));
    }

    private static ListedServer wide(String id, String dataCentre) {
        return new ListedServer(
                Listings.server(id, "chat", dataCentre).server(), 64, false, Duration.ZERO, 1);
    }

    private static PlacementQuery query(String part) {
        return new PlacementQuery("chat", Optional.of(part), 10_000, 0.5, Set.of());
    }

    private Placement.Chosen place(String part) {
        Placement placement = mPolicy.place(query(part), Catalogs.ENGINES);
        assertThat(placement).isInstanceOf(Placement.Chosen.class);
        return (Placement.Chosen) placement;
    }

    @Test
    void requestsThatShareAPartMeetAtOneServerFromEveryDataCentre() {
        engines(6);
        KnownServer first = place("part-7").server();
        assertThat(place("part-7").server()).isSameInstanceAs(first);
        Placement other = policy("b").place(query("part-7"), Catalogs.ENGINES);
        assertThat(((Placement.Chosen) other).server()).isSameInstanceAs(first);
    }

    @Test
    void aHotPartSpillsBeforeItsServerCarriesTwiceTheMean() {
        engines(6);
        double most = 0;
        for (int request = 0; request < 20; request++) {
            KnownServer server = place("hot").server();
            mTable.sent(server);
            double mean = (request + 1) / 6.0;
            most = Math.max(most, server.inFlight() - 2 * mean - 3);
        }
        assertThat(most).isAtMost(0.0);
    }

    /** A third of the servers idle in an emptied data centre halves what the others may carry. */
    @Test
    void serversThatMayNotBeUsedStillCountInTheMeanOfTheLoad() {
        List.of("a", "b", "c")
                .forEach(
                        dataCentre ->
                                IntStream.range(0, 3)
                                        .forEach(
                                                index ->
                                                        mTable.onAdded(
                                                                wide(
                                                                        dataCentre + index,
                                                                        dataCentre))));
        mEmptied.add("c");
        List<KnownServer> used =
                mTable.servers("chat").stream()
                        .filter(server -> !server.server().dataCentre().equals("c"))
                        .toList();
        used.forEach(server -> IntStream.range(0, 20).forEach(sent -> mTable.sent(server)));
        double most = 0;
        for (int request = 0; request < 40; request++) {
            KnownServer server = place("hot").server();
            mTable.sent(server);
            double mean = (120.0 + request + 1) / 9;
            most = Math.max(most, server.inFlight() - 2 * mean - 3);
        }
        assertThat(most).isAtMost(0.0);
    }

    @Test
    void aColdServerGetsThisRoutersShareEachSecond() {
        IntStream.range(2, 10).forEach(index -> mRouters.add("front-" + index));
        mTable.onAdded(Listings.server("e-1", "chat", "a", Duration.ofSeconds(3), false, 1));
        int sent = 0;
        while (mPolicy.place(query("p"), Catalogs.ENGINES) instanceof Placement.Chosen chosen) {
            mTable.sent(chosen.server());
            sent++;
        }
        assertThat(sent * mRouters.size())
                .isAtMost((int) (Catalogs.ENGINES.coldRequestsPerSecond() * 1.5 + 5));
        assertThat(sent).isGreaterThan(0);
        Placement none = mPolicy.place(query("p"), Catalogs.ENGINES);
        assertThat(((Placement.None) none).cause()).isEqualTo(Placement.Cause.COLD);
        mTimers.advance(Duration.ofMillis(3001));
        assertThat(place("p").server().server().name()).isEqualTo("e-1");
    }

    @Test
    void aServerThatMayHaveRestartedCountsAsCold() {
        engines(1);
        KnownServer server = place("p").server();
        mTable.sent(server);
        mTable.ended(server, SendResult.RESET, Catalogs.ENGINES.coldStart());
        mTimers.advance(Duration.ofMillis(600));
        IntStream.range(0, 20).forEach(index -> mTable.sent(server));
        Placement none = mPolicy.place(query("p"), Catalogs.ENGINES);
        assertThat(((Placement.None) none).cause()).isEqualTo(Placement.Cause.COLD);
    }

    @Test
    void anEmptiedDataCentreAndALeavingServerGetNothing() {
        engines(2);
        mEmptied.add("a");
        assertThat(place("p").server().server().name()).isEqualTo("e-1");
        mTable.onUpdated(Listings.server("e-1", "chat", "b", Duration.ZERO, true, 1));
        Placement none = mPolicy.place(query("p"), Catalogs.ENGINES);
        assertThat(((Placement.None) none).cause()).isEqualTo(Placement.Cause.NONE_USABLE);
    }

    @Test
    void aServerThatFailsPartOfItsRequestsIsAvoidedWhileOthersAreSound() {
        engines(2);
        KnownServer grey = place("p").server();
        for (int request = 0; request < 6; request++) {
            mTable.sent(grey);
            mTable.ended(
                    grey,
                    request % 2 == 0 ? SendResult.SERVER_ERROR : SendResult.ANSWERED,
                    Duration.ZERO);
        }
        assertThat(place("p").server()).isNotSameInstanceAs(grey);
        mTimers.advance(Duration.ofSeconds(2));
        assertThat(place("p").server()).isSameInstanceAs(grey);
    }

    @Test
    void whenEveryServerIsFullNobodyWaits() {
        engines(2);
        mTable.servers("chat")
                .forEach(server -> server.reported(new ServerLoad(8, 8, 8), mTimers.nowMillis()));
        Placement none = mPolicy.place(query("p"), Catalogs.ENGINES);
        assertThat(((Placement.None) none).cause()).isEqualTo(Placement.Cause.FULL);
    }
}
