package io.rhubarbward.config;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.config.ConfigMessage.HeadAnswer;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.membership.Heartbeat;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.node.RouterNode;
import io.rhubarbward.store.memory.MemoryObjectStore;
import io.rhubarbward.store.memory.PlatformFaults;
import io.rhubarbward.testing.Site;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class ConfigDistributionTest {
    private static final Duration IN_FORCE_LIMIT = Duration.ofSeconds(5);
    private static final Duration SETTLE_TIME = Duration.ofSeconds(10);
    private static final int ROUTERS = 9;

    @Test
    void twoRoutersOfEachDataCentreWatchThePlatform() {
        Site site = Site.start(0);
        for (int number = 0; number < ROUTERS; number++) {
            site.addRouter("entry-" + number, "dc-" + "abc".charAt(number % 3), List.of());
        }
        site.advance(SETTLE_TIME);
        assertThat(site.store().waitingWatches("config/head")).isEqualTo(6);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void aChangeIsInForceInTimeAlthoughMessagesAreLost(long seed) {
        Site site = Site.start(ROUTERS);
        SplittableRandom random = new SplittableRandom(seed);
        site.cutPeers((from, to) -> random.nextInt(10) < 3);
        site.apply(Site.SETTINGS);
        site.advance(IN_FORCE_LIMIT);
        assertThat(lowestGeneration(site)).isEqualTo(2);
    }

    @Test
    void otherRoutersReplaceRelaysThatDied() {
        Site site = Site.start(ROUTERS);
        site.advance(SETTLE_TIME);
        List<String> watching =
                site.vms().stream()
                        .map(vm -> vm.name())
                        .filter(vm -> isWatching(site, vm))
                        .toList();
        assertThat(watching).hasSize(2);
        watching.forEach(vm -> site.kill(router(site, vm), vm));
        site.apply(Site.SETTINGS);
        site.advance(IN_FORCE_LIMIT);
        assertThat(lowestGeneration(site)).isEqualTo(2);
    }

    @Test
    void aRouterCutOffFromThePlatformFetchesFromPeers() {
        Site site = Site.start(ROUTERS);
        for (int number = 2; number <= ROUTERS; number++) {
            site.link("entry-" + number).cut(true);
        }
        site.apply(Site.SETTINGS);
        site.advance(IN_FORCE_LIMIT);
        assertThat(lowestGeneration(site)).isEqualTo(2);
    }

    @Test
    void aNewRouterThatIsNotOnItsPeersVmListsYetFetchesFromThem() {
        Site site = Site.start(3);
        site.vms().forEach(vm -> site.link(vm.name()).freezeVms());
        RouterNode unlisted = site.addRouter("entry-4");
        site.advance(Duration.ofSeconds(1));
        site.link("entry-4").cut(true);
        site.apply(Site.SETTINGS);
        site.advance(IN_FORCE_LIMIT);
        assertThat(unlisted.configuration().orElseThrow().generation()).isEqualTo(2);
    }

    @Test
    void aRouterCutOffFromPeersFetchesFromThePlatform() {
        Site site = Site.start(ROUTERS);
        site.cutPeers((from, to) -> from.equals("entry-5") || to.equals("entry-5"));
        site.apply(Site.SETTINGS);
        site.advance(IN_FORCE_LIMIT);
        assertThat(lowestGeneration(site)).isEqualTo(2);
        assertThat(router(site, "entry-5").ready()).isTrue();
    }

    @Test
    void aStoreRestoredFromABackupRevertsNoRouterToALowerGeneration() {
        Site site = Site.start(ROUTERS);
        MemoryObjectStore.Backup backup = site.store().backup();
        site.apply(Site.SETTINGS);
        site.advance(SETTLE_TIME);
        site.store().restore(backup);
        site.advance(SETTLE_TIME);
        assertThat(lowestGeneration(site)).isEqualTo(2);
        assertThat(site.logged()).contains(LogEvent.CONFIG_HEAD_LOWER);
        site.apply(Site.SETTINGS);
        site.advance(IN_FORCE_LIMIT);
        assertThat(lowestGeneration(site)).isEqualTo(3);
    }

    @Test
    void aPeerWithAnOldHeadRevertsNoRouterToALowerGeneration() {
        Site site = Site.start(2);
        site.apply(Site.SETTINGS);
        site.advance(IN_FORCE_LIMIT);
        Peer receiver = new Peer("entry-1", "dc-a", "entry-1:1");
        SiteHead oldHead = new SiteHead(1, List.of(List.of()));
        site.peers().endpoint("entry-2").send(receiver, new Heartbeat(1, 9));
        site.peers().endpoint("entry-2").send(receiver, new HeadAnswer(oldHead));
        site.advance(SETTLE_TIME);
        assertThat(site.router(0).configuration().orElseThrow().generation()).isEqualTo(2);
    }

    @Test
    void aHeadWithInvalidSettingsIsRefused() {
        Site site = Site.start(2);
        String text = "{\"drain\":{\"noticeMillis\":-1}}";
        SiteHead invalidHead = new SiteHead(9, List.of(List.of(Sha256.of(text))));
        Peer receiver = new Peer("entry-1", "dc-a", "entry-1:1");
        var faultyPeer = site.peers().endpoint("entry-2");
        faultyPeer.send(receiver, new Heartbeat(1, 9));
        faultyPeer.send(receiver, new HeadAnswer(invalidHead));
        faultyPeer.send(receiver, new ConfigMessage.ChunkAnswer(List.of("{}", text)));
        site.advance(Duration.ofMillis(10));
        assertThat(site.logged()).contains(LogEvent.CONFIG_REFUSED);
        site.apply(Site.SETTINGS);
        site.advance(IN_FORCE_LIMIT);
        assertThat(lowestGeneration(site)).isEqualTo(2);
    }

    @Test
    void aNewRouterFetchesTheNewestGenerationFromItsSeedsWhileThePlatformIsDown() {
        Site site = Site.start(3);
        site.apply(Site.SETTINGS);
        site.advance(IN_FORCE_LIMIT);
        site.store().faults(PlatformFaults.NONE.withDown(true));
        RouterNode withSeeds = site.addRouter("entry-4", "dc-a", List.of("nobody:1", "entry-2:1"));
        RouterNode withoutSeeds = site.addRouter("entry-5", "dc-a", List.of());
        site.advance(IN_FORCE_LIMIT);
        assertThat(withSeeds.configuration().orElseThrow().generation()).isEqualTo(2);
        assertThat(withSeeds.ready()).isTrue();
        assertThat(withoutSeeds.ready()).isFalse();
    }

    @Test
    void aRouterCutOffFromPeersAndPlatformIsNotReadyUntilItIsReconnected() {
        Site site = Site.start(2);
        site.link("entry-1").cut(true);
        site.cutPeers((from, to) -> true);
        site.advance(Duration.ofSeconds(3));
        assertThat(site.router(0).ready()).isTrue();
        site.advance(Duration.ofSeconds(7));
        assertThat(site.router(0).ready()).isFalse();
        assertThat(site.router(1).ready()).isTrue();
        site.link("entry-1").cut(false);
        site.advance(IN_FORCE_LIMIT);
        assertThat(site.router(0).ready()).isTrue();
    }

    @Test
    void aRouterStaysReadyDuringAPlatformOutageWhileItHearsFromPeers() {
        Site site = Site.start(2);
        site.store().faults(PlatformFaults.NONE.withDown(true));
        site.advance(Duration.ofMinutes(5));
        assertThat(site.router(0).ready()).isTrue();
    }

    @Test
    void theStatusNamesRoutersThatAreBehindAndWaitsForThem() {
        Site site = Site.start(3);
        site.cutPeers((from, to) -> from.equals("entry-2") || to.equals("entry-2"));
        site.link("entry-2").cut(true);
        site.apply(Site.SETTINGS);
        site.advance(IN_FORCE_LIMIT);
        AtomicReference<GenerationReport> report = await(site, Duration.ofSeconds(30));
        assertThat(report.get()).isNull();
        site.cutPeers((from, to) -> false);
        site.advance(IN_FORCE_LIMIT);
        assertThat(Objects.requireNonNull(report.get()).inForceEverywhere()).isTrue();
        site.cutPeers((from, to) -> from.equals("entry-2") || to.equals("entry-2"));
        site.apply(Site.SETTINGS);
        report = await(site, IN_FORCE_LIMIT);
        site.advance(IN_FORCE_LIMIT.multipliedBy(2));
        GenerationReport late = Objects.requireNonNull(report.get());
        assertThat(late.inForceEverywhere()).isFalse();
        assertThat(late.dataCentres().get(0).behind()).containsExactly("entry-2", 2L);
    }

    private static AtomicReference<GenerationReport> await(Site site, Duration limit) {
        AtomicReference<GenerationReport> result = new AtomicReference<>();
        new GenerationStatusReader(site.store(), site.timers())
                .await(OptionalLong.empty(), limit)
                .thenAccept(report -> result.set(report.get()));
        site.timers().runDue();
        return result;
    }

    private static boolean isWatching(Site site, String vm) {
        return String.valueOf(router(site, vm).state().get("configDistribution"))
                .contains("watching=true");
    }

    private static RouterNode router(Site site, String vm) {
        return site.routers().stream()
                .filter(router -> String.valueOf(router.state().get("identity")).contains(vm + ","))
                .findFirst()
                .orElseThrow();
    }

    private static long lowestGeneration(Site site) {
        return site.routers().stream()
                .mapToLong(
                        router -> router.configuration().map(Configuration::generation).orElse(0L))
                .min()
                .orElseThrow();
    }
}
