package io.rhubarbward.move;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.store.memory.MemoryObjectStore;
import io.rhubarbward.testing.FakeEngineOrders;
import io.rhubarbward.timer.VirtualTimerService;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class EngineRoleReconcilerTest {
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final MemoryObjectStore mStore = new MemoryObjectStore(mTimers);
    private final FakeEngineOrders mEngines = new FakeEngineOrders(mTimers);
    private final Controller mFormerController = new Controller("a");
    private final Controller mNewController = new Controller("b");

    @Test
    void aPausedControllerGivesNoOrderAfterItsTerm() {
        mFormerController.run(3, Map.of());
        mTimers.advance(RolloutLease.TERM);
        mFormerController.mReconciler.tick(
                Map.of(engine(BackendServer.Fencing.IGNORES), EngineRole.STANDBY));
        mTimers.advance(SECOND);
        assertThat(mEngines.currentOrder("engine")).isEmpty();
    }

    @Test
    void aLateOrderOfAFormerControllerIsRefusedByAnEngineThatChecksFencing() {
        BackendServer engine = engine(BackendServer.Fencing.REFUSES_OLD);
        mFormerController.run(3, Map.of(engine, EngineRole.SERVE));
        mNewController.run(12, Map.of(engine, EngineRole.STANDBY));
        // The former controller checked its lease before its process was paused.
        mEngines.give(engine, new EngineOrder(mFormerController.mLease.fence(), EngineRole.SERVE));
        assertThat(mEngines.currentOrder("engine").orElseThrow().role())
                .isEqualTo(EngineRole.STANDBY);
    }

    @Test
    void aLateOrderOfAFormerControllerIsCorrectedAtAnEngineThatIgnoresFencing() {
        BackendServer engine = engine(BackendServer.Fencing.IGNORES);
        mFormerController.run(3, Map.of(engine, EngineRole.SERVE));
        mNewController.run(20, Map.of(engine, EngineRole.STANDBY));
        mEngines.give(engine, new EngineOrder(mFormerController.mLease.fence(), EngineRole.SERVE));
        mNewController.run(
                (int) EngineRoleReconciler.MAX_ASSUMED_PAUSE.toSeconds(),
                Map.of(engine, EngineRole.STANDBY));
        assertThat(mEngines.currentOrder("engine").orElseThrow().role())
                .isEqualTo(EngineRole.STANDBY);
    }

    @Test
    void aNewControllerWaitsForTheMaximumPauseBeforeItOrdersAnEngineThatIgnoresFencing() {
        BackendServer engine = engine(BackendServer.Fencing.IGNORES);
        mFormerController.run(3, Map.of(engine, EngineRole.SERVE));
        mNewController.run(12, Map.of(engine, EngineRole.STANDBY));
        assertThat(mNewController.mLease.holds()).isTrue();
        assertThat(mEngines.currentOrder("engine").orElseThrow().role())
                .isEqualTo(EngineRole.SERVE);
    }

    @Test
    void aRoleThatIsOverwrittenBeforeItIsStableIsOrderedAgain() {
        BackendServer engine = engine(BackendServer.Fencing.IGNORES);
        Map<BackendServer, EngineRole> roles = Map.of(engine, EngineRole.STANDBY);
        mFormerController.run(4, roles);
        mEngines.give(engine, new EngineOrder(0, EngineRole.SERVE));
        mFormerController.run(8, roles);
        assertThat(mEngines.currentOrder("engine").orElseThrow().role())
                .isEqualTo(EngineRole.STANDBY);
        assertThat(mFormerController.mReconciler.isSettled(roles)).isTrue();
    }

    private static BackendServer engine(BackendServer.Fencing fencing) {
        return new BackendServer("engine", "assistant", "dc-a", "e:1", "2", fencing);
    }

    private final class Controller {
        private final RolloutLease mLease;
        private final EngineRoleReconciler mReconciler;

        Controller(String name) {
            mLease = new RolloutLease(name, mStore, mTimers, EventLog.none());
            mReconciler = new EngineRoleReconciler(mEngines, mLease, mTimers, EventLog.none());
        }

        void run(int seconds, Map<BackendServer, EngineRole> roles) {
            for (int second = 0; second < seconds; second++) {
                mLease.tick();
                mReconciler.tick(roles);
                mTimers.advance(SECOND);
            }
        }
    }
}
