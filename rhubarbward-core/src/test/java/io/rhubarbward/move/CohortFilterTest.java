package io.rhubarbward.move;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.config.Service;
import io.rhubarbward.config.Settings;
import io.rhubarbward.config.SettingsReader;
import io.rhubarbward.config.SettingsText;
import io.rhubarbward.engine.BackendRegistry;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.routing.RouteQuery;
import io.rhubarbward.store.Vm;
import io.rhubarbward.testing.Site;
import io.rhubarbward.timer.VirtualTimerService;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class CohortFilterTest {
    private static final int CHATS = 20_000;

    private final Settings mSettings =
            new SettingsReader()
                    .read(
                            List.of(
                                    new SettingsText(
                                            "base",
                                            Site.SETTINGS.replace(
                                                    "\"address\": \"e2:1\"",
                                                    "\"address\": \"e2:1\", \"version\": \"2\""))))
                    .get();
    private final BackendRegistry mRegistry =
            new BackendRegistry(EventLog.none(), new VirtualTimerService());
    private final RolloutBoard mBoard = new RolloutBoard(EventLog.none());
    private final CohortFilter mFilter = filter("entry-1");
    private final Service mService = Objects.requireNonNull(mSettings.services().get("assistant"));
    private final BackendServer mOld = server("engine-1");
    private final BackendServer mNew = server("engine-2");

    CohortFilterTest() {
        mRegistry.configure(mSettings);
    }

    private CohortFilter filter(String vm) {
        return new CohortFilter(mBoard, mRegistry, () -> Optional.of(mSettings), vm);
    }

    private BackendServer server(String name) {
        return Objects.requireNonNull(mSettings.backendServers().get(name));
    }

    private void leave(String... names) {
        mRegistry.observe(Arrays.stream(names).map(this::server).map(this::leaving).toList());
    }

    private Vm leaving(BackendServer server) {
        return new Vm(
                server.name(),
                server.dataCentre(),
                Vm.Role.BACKEND,
                server.address(),
                Vm.State.LEAVING,
                server.service(),
                server.version());
    }

    private void word(long version, RolloutState state, int share) {
        mBoard.offer(
                new RolloutSummary(
                        "up", version, "assistant", "1", "2", state, share, 1, Map.of()));
    }

    private boolean toNew(CohortFilter filter, Optional<String> chat) {
        RouteQuery query = new RouteQuery(mService, chat, "dc-a");
        boolean admitsNew = filter.admits(mNew, query);
        assertThat(filter.admits(mOld, query)).isEqualTo(!admitsNew);
        return admitsNew;
    }

    private boolean toNew(int chat) {
        return toNew(mFilter, Optional.of("chat-" + chat));
    }

    @Test
    void theShareOfTheChatsGoesToTheNewVersion() {
        word(1, RolloutState.RUNNING, 250);
        long moved = IntStream.range(0, CHATS).filter(this::toNew).count();
        // Five standard deviations of a binomial count.
        assertThat((double) moved).isWithin(5 * Math.sqrt(CHATS * 0.25 * 0.75)).of(CHATS * 0.25);
    }

    @Test
    void aGrowingShareOnlyMovesChatsToTheNewVersion() {
        word(1, RolloutState.RUNNING, 100);
        List<Integer> before = IntStream.range(0, 1_000).filter(this::toNew).boxed().toList();
        word(2, RolloutState.RUNNING, 500);
        assertThat(before.stream().allMatch(this::toNew)).isTrue();
    }

    @Test
    void allRoutersAgreeOnEveryChat() {
        word(1, RolloutState.RUNNING, 500);
        CohortFilter other = filter("entry-2");
        for (int chat = 0; chat < 1_000; chat++) {
            Optional<String> name = Optional.of("chat-" + chat);
            assertThat(toNew(mFilter, name)).isEqualTo(toNew(other, name));
        }
    }

    @Test
    void requestsWithoutAChatSpreadByTheShare() {
        word(1, RolloutState.RUNNING, 250);
        long moved =
                IntStream.range(0, 1_000)
                        .filter(request -> toNew(mFilter, Optional.empty()))
                        .count();
        assertThat((double) moved).isWithin(10).of(250);
    }

    @Test
    void anOlderWordNeverReverts() {
        word(5, RolloutState.TAKEN_BACK, 0);
        word(4, RolloutState.RUNNING, 500);
        assertThat(IntStream.range(0, 1_000).anyMatch(this::toNew)).isFalse();
    }

    @Test
    void aStoppedVersionGetsNothingEvenIfTheOldOneHasNoServer() {
        word(1, RolloutState.RUNNING, 500);
        mBoard.stopHere("up");
        leave("engine-1", "engine-3");
        assertThat(IntStream.range(0, 1_000).anyMatch(this::toNew)).isFalse();
    }

    @Test
    void aRunningVersionStandsInWhenTheOldOneHasNoServer() {
        word(1, RolloutState.RUNNING, 10);
        leave("engine-1", "engine-3");
        assertThat(IntStream.range(0, 1_000).allMatch(this::toNew)).isTrue();
    }

    @Test
    void theOldVersionStandsInWhenTheNewOneHasNoServer() {
        word(1, RolloutState.DONE, 950);
        leave("engine-2");
        assertThat(IntStream.range(0, 1_000).anyMatch(this::toNew)).isFalse();
    }
}
