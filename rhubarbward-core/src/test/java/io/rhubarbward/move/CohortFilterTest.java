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
    private final RolloutView mView = new RolloutView(EventLog.none());
    private final CohortFilter mFilter = filter("entry-1");
    private final Service mService = Objects.requireNonNull(mSettings.services().get("assistant"));
    private final BackendServer mOldServer = server("engine-1");
    private final BackendServer mNewServer = server("engine-2");

    CohortFilterTest() {
        mRegistry.configure(mSettings);
    }

    private CohortFilter filter(String vm) {
        return new CohortFilter(mView, mRegistry, () -> Optional.of(mSettings), vm);
    }

    private BackendServer server(String name) {
        return Objects.requireNonNull(mSettings.backendServers().get(name));
    }

    private void markLeaving(String... names) {
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

    private void applySummary(long version, RolloutState state, int share) {
        mView.updateIfNewer(
                new RolloutSummary(
                        "up", version, "assistant", "1", "2", state, share, 1, Map.of()));
    }

    private boolean goesToNewVersion(CohortFilter filter, Optional<String> chat) {
        RouteQuery query = new RouteQuery(mService, chat, "dc-a");
        boolean admitsNew = filter.admits(mNewServer, query);
        assertThat(filter.admits(mOldServer, query)).isEqualTo(!admitsNew);
        return admitsNew;
    }

    private boolean goesToNewVersion(int chat) {
        return goesToNewVersion(mFilter, Optional.of("chat-" + chat));
    }

    @Test
    void theNewVersionGetsItsShareOfTheChats() {
        applySummary(1, RolloutState.RUNNING, 250);
        long toNewVersion = IntStream.range(0, CHATS).filter(this::goesToNewVersion).count();
        // Five standard deviations of a binomial count.
        assertThat((double) toNewVersion)
                .isWithin(5 * Math.sqrt(CHATS * 0.25 * 0.75))
                .of(CHATS * 0.25);
    }

    @Test
    void aGrowingShareOnlyMovesChatsToTheNewVersion() {
        applySummary(1, RolloutState.RUNNING, 100);
        List<Integer> movedBefore =
                IntStream.range(0, 1_000).filter(this::goesToNewVersion).boxed().toList();
        applySummary(2, RolloutState.RUNNING, 500);
        assertThat(movedBefore.stream().allMatch(this::goesToNewVersion)).isTrue();
    }

    @Test
    void allRoutersAgreeOnEveryChat() {
        applySummary(1, RolloutState.RUNNING, 500);
        CohortFilter other = filter("entry-2");
        for (int chat = 0; chat < 1_000; chat++) {
            Optional<String> name = Optional.of("chat-" + chat);
            assertThat(goesToNewVersion(mFilter, name)).isEqualTo(goesToNewVersion(other, name));
        }
    }

    @Test
    void requestsWithoutAChatAreSpreadByTheShare() {
        applySummary(1, RolloutState.RUNNING, 250);
        long toNewVersion =
                IntStream.range(0, 1_000)
                        .filter(request -> goesToNewVersion(mFilter, Optional.empty()))
                        .count();
        assertThat((double) toNewVersion).isWithin(10).of(250);
    }

    @Test
    void anOlderSummaryNeverReplacesANewerOne() {
        applySummary(5, RolloutState.TAKEN_BACK, 0);
        applySummary(4, RolloutState.RUNNING, 500);
        assertThat(IntStream.range(0, 1_000).anyMatch(this::goesToNewVersion)).isFalse();
    }

    @Test
    void aStoppedNewVersionGetsNoChatsEvenIfTheOldOneHasNoServer() {
        applySummary(1, RolloutState.RUNNING, 500);
        mView.stopHere("up");
        markLeaving("engine-1", "engine-3");
        assertThat(IntStream.range(0, 1_000).anyMatch(this::goesToNewVersion)).isFalse();
    }

    @Test
    void aRunningNewVersionServesAllChatsWhenTheOldOneHasNoServer() {
        applySummary(1, RolloutState.RUNNING, 10);
        markLeaving("engine-1", "engine-3");
        assertThat(IntStream.range(0, 1_000).allMatch(this::goesToNewVersion)).isTrue();
    }

    @Test
    void theOldVersionServesAllChatsWhenTheNewOneHasNoServer() {
        applySummary(1, RolloutState.DONE, 950);
        markLeaving("engine-2");
        assertThat(IntStream.range(0, 1_000).anyMatch(this::goesToNewVersion)).isFalse();
    }
}
