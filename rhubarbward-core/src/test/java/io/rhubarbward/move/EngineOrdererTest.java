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

final class EngineOrdererTest {
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final MemoryObjectStore mStore = new MemoryObjectStore(mTimers);
    private final FakeEngineOrders mEngines = new FakeEngineOrders(mTimers);
    private final Controller mOld = new Controller("a");
    private final Controller mNew = new Controller("b");

    @Test
    void aPausedControllerGivesNoOrderAfterItsTerm() {
        mOld.run(3, Map.of());
        mTimers.advance(MoveLease.TERM);
        mOld.mOrderer.tick(Map.of(engine(BackendServer.Fencing.IGNORES), EngineRole.STANDBY));
        mTimers.advance(SECOND);
        assertThat(mEngines.currentOrder("engine")).isEmpty();
    }

    @Test
    void anOldOrderThatComesLateIsRefusedByAnEngineThatChecks() {
        BackendServer engine = engine(BackendServer.Fencing.REFUSES_OLD);
        mOld.run(3, Map.of(engine, EngineRole.SERVE));
        mNew.run(12, Map.of(engine, EngineRole.STANDBY));
        // The old controller had checked its lease before its process was paused.
        mEngines.give(engine, new EngineOrder(mOld.mLease.fence(), EngineRole.SERVE));
        assertThat(mEngines.currentOrder("engine").orElseThrow().role())
                .isEqualTo(EngineRole.STANDBY);
    }

    @Test
    void anOldOrderThatComesLateIsUndoneAtAnEngineThatIgnoresFencing() {
        BackendServer engine = engine(BackendServer.Fencing.IGNORES);
        mOld.run(3, Map.of(engine, EngineRole.SERVE));
        mNew.run(20, Map.of(engine, EngineRole.STANDBY));
        mEngines.give(engine, new EngineOrder(mOld.mLease.fence(), EngineRole.SERVE));
        mNew.run((int) EngineOrderer.LONGEST_PAUSE.toSeconds(), Map.of(engine, EngineRole.STANDBY));
        assertThat(mEngines.currentOrder("engine").orElseThrow().role())
                .isEqualTo(EngineRole.STANDBY);
    }

    @Test
    void aNewControllerWaitsForTheLongestPauseBeforeItOrdersAnEngineThatIgnoresFencing() {
        BackendServer engine = engine(BackendServer.Fencing.IGNORES);
        mOld.run(3, Map.of(engine, EngineRole.SERVE));
        mNew.run(12, Map.of(engine, EngineRole.STANDBY));
        assertThat(mNew.mLease.holds()).isTrue();
        assertThat(mEngines.currentOrder("engine").orElseThrow().role())
                .isEqualTo(EngineRole.SERVE);
    }

    @Test
    void aRoleThatWasOverwrittenBeforeItWasSteadyIsOrderedAgain() {
        BackendServer engine = engine(BackendServer.Fencing.IGNORES);
        Map<BackendServer, EngineRole> roles = Map.of(engine, EngineRole.STANDBY);
        mOld.run(4, roles);
        mEngines.give(engine, new EngineOrder(0, EngineRole.SERVE));
        mOld.run(8, roles);
        assertThat(mEngines.currentOrder("engine").orElseThrow().role())
                .isEqualTo(EngineRole.STANDBY);
        assertThat(mOld.mOrderer.settled(roles)).isTrue();
    }

    private static BackendServer engine(BackendServer.Fencing fencing) {
        return new BackendServer("engine", "assistant", "dc-a", "e:1", "2", fencing);
    }

    private final class Controller {
        private final MoveLease mLease;
        private final EngineOrderer mOrderer;

        Controller(String name) {
            mLease = new MoveLease(name, mStore, mTimers, EventLog.none());
            mOrderer = new EngineOrderer(mEngines, mLease, mTimers, EventLog.none());
        }

        void run(int seconds, Map<BackendServer, EngineRole> roles) {
            for (int second = 0; second < seconds; second++) {
                mLease.tick();
                mOrderer.tick(roles);
                mTimers.advance(SECOND);
            }
        }
    }
}
