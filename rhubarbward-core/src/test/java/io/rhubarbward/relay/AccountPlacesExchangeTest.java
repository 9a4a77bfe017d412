package io.rhubarbward.relay;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.admission.AccountUsage;
import io.rhubarbward.crash.CrashSuspects;
import io.rhubarbward.directory.RouterPresence;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.membership.PeerMessage;
import io.rhubarbward.move.FleetRollouts;
import io.rhubarbward.placement.ServerTable;
import io.rhubarbward.testing.FakePeers;
import io.rhubarbward.testing.ListedServers;
import io.rhubarbward.testing.RecordingEvents;
import io.rhubarbward.timer.VirtualTimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Runs several routers that tell each other the places of each account on one virtual clock;
 * messages take a millisecond or are dropped.
 */
final class AccountPlacesExchangeTest {
    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final FakePeers mPeers = new FakePeers(mTimers);
    private final Map<String, RouterPresence> mListedRouters = new TreeMap<>();
    private final Set<String> mMuted = new HashSet<>();
    private final List<PeerMessage> mSent = new ArrayList<>();
    private boolean mWantsRoom = true;

    AccountPlacesExchangeTest() {
        mPeers.cut((from, to) -> mMuted.contains(from));
        mPeers.onSend(mSent::add);
    }

    private List<Router> startRouters(int routers, int dataCentres) {
        return IntStream.range(0, routers)
                .mapToObj(index -> startRouter("front-" + index, "dc-" + index % dataCentres))
                .toList();
    }

    private Router startRouter(String name, String dataCentre) {
        mListedRouters.put(name, new RouterPresence(dataCentre, name + ":7000", 1));
        Router router = new Router(name, dataCentre);
        router.mExchange.start();
        return router;
    }

    private final class Router {
        private final String mName;
        private final ServerTable mTable = new ServerTable(mTimers, new RecordingEvents());
        private final AccountUsage mUsage = new AccountUsage(mTimers);
        private final LoadExchange mExchange;

        Router(String name, String dataCentre) {
            mName = name;
            mTable.onAdded(ListedServers.server("e-0", "chat", "a"));
            FleetRollouts rollouts =
                    new FleetRollouts(
                            0.1,
                            mTable,
                            () -> false,
                            (service, target, state, revision) ->
                                    CompletableFuture.completedStage(false),
                            mTimers,
                            new RecordingEvents());
            mExchange =
                    new LoadExchange(
                            name,
                            dataCentre,
                            () -> mListedRouters,
                            () -> aggregator(dataCentre),
                            mPeers.endpoint(name),
                            new ExchangedState(
                                    new CrashSuspects(mTimers, new RecordingEvents()),
                                    rollouts,
                                    mTable,
                                    mUsage,
                                    service -> mWantsRoom),
                            mTimers);
        }

        private Optional<Peer> aggregator(String dataCentre) {
            return RelaySelection.inOrderOfPreference(mListedRouters, dataCentre).stream()
                    .filter(peer -> peer.vm().equals(mName) || !mMuted.contains(peer.vm()))
                    .findFirst()
                    .filter(peer -> !peer.vm().equals(mName));
        }

        void open(String account, double places) {
            mUsage.add("chat", account, places);
        }

        void send() {
            mTable.recordSend(mTable.servers().get(0));
        }

        void openAndSend(String account) {
            open(account, 1);
            send();
        }

        double places(String account) {
            return mUsage.places("chat", account);
        }
    }

    /** Each account reaches some routers only; every router must know what it has in all. */
    @Test
    void everyRouterLearnsThePlacesOfEachAccountInAllDataCentres() {
        List<Router> routers = startRouters(9, 3);
        mTimers.advance(Duration.ofSeconds(1));
        routers.forEach(router -> router.open("everywhere", 1.5));
        routers.get(4).open("at-one", 40);
        routers.subList(0, 3).forEach(router -> router.open("at-three", 2));
        mTimers.advance(Duration.ofSeconds(1));
        routers.forEach(
                router -> {
                    assertThat(router.places("everywhere")).isWithin(1e-9).of(13.5);
                    assertThat(router.places("at-one")).isWithin(1e-9).of(40);
                    assertThat(router.places("at-three")).isWithin(1e-9).of(6);
                });
        routers.get(4).mUsage.remove("chat", "at-one", 40);
        mTimers.advance(Duration.ofSeconds(1));
        routers.forEach(router -> assertThat(router.places("at-one")).isEqualTo(0.0));
    }

    /** The places of a request must be known about as soon as the request itself. */
    @Test
    void placesAreKnownInOtherDataCentresSoonAfterASend() {
        List<Router> routers = startRouters(9, 3);
        mTimers.advance(Duration.ofSeconds(1));
        routers.get(0).open("hot", 10);
        routers.get(0).send();
        mTimers.advance(Duration.ofMillis(60));
        routers.forEach(router -> assertThat(router.places("hot")).isEqualTo(10.0));
    }

    /** Deployments with room must send what they sent before. */
    @Test
    void noPlacesAreSentWhileThereIsRoom() {
        mWantsRoom = false;
        List<Router> routers = startRouters(9, 3);
        routers.forEach(router -> router.open("hot", 10));
        routers.forEach(router -> router.send());
        mTimers.advance(Duration.ofSeconds(2));
        assertThat(mSent.stream().mapToInt(AccountPlacesExchangeTest::accountEntries).sum())
                .isEqualTo(0);
        routers.forEach(router -> assertThat(router.places("hot")).isEqualTo(10.0));
        mWantsRoom = true;
        mTimers.advance(Duration.ofSeconds(1));
        routers.forEach(router -> assertThat(router.places("hot")).isEqualTo(90.0));
        mWantsRoom = false;
        mTimers.advance(Duration.ofSeconds(1));
        routers.forEach(router -> assertThat(router.places("hot")).isEqualTo(10.0));
    }

    private static int accountEntries(PeerMessage message) {
        if (message instanceof LoadReport report) {
            return report.accountPlaces().size();
        }
        if (message instanceof DataCentreLoad load) {
            return load.accountPlaces().size();
        }
        return message instanceof LoadTotals totals ? totals.accountPlaces().size() : 0;
    }

    /** Messages are bounded whatever the number of accounts; those that use most stay known. */
    @Test
    void messagesHaveAtMost64Or256Accounts() {
        List<Router> routers = startRouters(10, 2);
        for (int index = 0; index < routers.size(); index++) {
            for (int account = 1; account <= 80; account++) {
                routers.get(index).open("a-" + index + "-" + account, account);
            }
            routers.get(index).open("hot", 100);
        }
        mTimers.advance(Duration.ofSeconds(2));
        assertThat(mostEntries(LoadReport.class)).isEqualTo(64);
        assertThat(mostEntries(DataCentreLoad.class)).isEqualTo(256);
        assertThat(mostEntries(LoadTotals.class)).isEqualTo(256);
        routers.forEach(
                router -> {
                    assertThat(router.places("hot")).isEqualTo(1000.0);
                    assertThat(router.places("a-3-80")).isEqualTo(80.0);
                });
        // Own counts are known in full, also of accounts that are too small for the sums.
        assertThat(routers.get(3).places("a-3-1")).isEqualTo(1.0);
        assertThat(routers.get(4).places("a-3-1")).isEqualTo(0.0);
    }

    private int mostEntries(Class<? extends PeerMessage> type) {
        return mSent.stream()
                .filter(type::isInstance)
                .mapToInt(AccountPlacesExchangeTest::accountEntries)
                .max()
                .orElse(0);
    }

    /** What a lost router had open must not count for ever. */
    @Test
    void theCountsOfALostRouterExpire() {
        List<Router> routers = startRouters(9, 3);
        routers.forEach(router -> router.open("hot", 2));
        mTimers.advance(Duration.ofSeconds(2));
        String lost = RelaySelection.inOrderOfPreference(mListedRouters, "dc-1").get(2).vm();
        mMuted.add(lost);
        mTimers.advance(Duration.ofMillis(2600));
        routers.stream()
                .filter(router -> !router.mName.equals(lost))
                .forEach(router -> assertThat(router.places("hot")).isEqualTo(16.0));
    }

    /**
     * An account opens a place at each router every 100 ms while an aggregator is lost. The routers
     * of its data centre may count twice until the lost aggregator's sum expires, but no longer,
     * and counts must be complete again afterwards.
     */
    @Test
    void anAggregatorLostDuringABurstDelaysTheCountsOnly() {
        List<Router> routers = startRouters(9, 3);
        mTimers.advance(Duration.ofSeconds(1));
        String lost = RelaySelection.inOrderOfPreference(mListedRouters, "dc-1").get(0).vm();
        List<Router> remaining =
                routers.stream().filter(router -> !router.mName.equals(lost)).toList();
        for (int step = 0; step < 40; step++) {
            if (step == 10) {
                mMuted.add(lost);
            }
            routers.forEach(router -> router.openAndSend("hot"));
            mTimers.advance(Duration.ofMillis(100));
            double opened = 9.0 * (step + 1);
            double twice = step < 10 || step > 30 ? 0 : opened / 3;
            remaining.forEach(router -> assertThat(router.places("hot")).isAtMost(opened + twice));
        }
        mTimers.advance(Duration.ofSeconds(1));
        remaining.forEach(router -> assertThat(router.places("hot")).isEqualTo(320.0));
    }

    /** Its requests must not count for ever, and it must keep to what it knows itself. */
    @Test
    void aDataCentreThatIsCutOffNoLongerCountsAndCountsItsOwn() {
        List<Router> routers = startRouters(9, 3);
        routers.forEach(router -> router.open("hot", 2));
        mTimers.advance(Duration.ofSeconds(2));
        routers.forEach(router -> assertThat(router.places("hot")).isEqualTo(18.0));
        mPeers.cut((from, to) -> inDataCentre2(from) != inDataCentre2(to));
        mTimers.advance(Duration.ofMillis(2600));
        routers.forEach(
                router ->
                        assertThat(router.places("hot"))
                                .isEqualTo(inDataCentre2(router.mName) ? 6.0 : 12.0));
        mPeers.cut((from, to) -> false);
        mTimers.advance(Duration.ofSeconds(3));
        routers.forEach(router -> assertThat(router.places("hot")).isEqualTo(18.0));
    }

    private boolean inDataCentre2(String name) {
        RouterPresence presence = mListedRouters.get(name);
        return presence != null && presence.dataCentre().equals("dc-2");
    }
}
