package io.rhubarbward.move;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.move.EngineOrders.OrderFailure;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/**
 * Brings engines to their roles, under the lease and its fencing number.
 *
 * <p>An engine that refuses old fencing numbers is ordered at once. For one that ignores them, an
 * old holder that was paused may still order something else: a new holder waits for the longest
 * pause that is assumed, then orders, and reads back until the role has stayed.
 */
final class EngineOrderer {
    /** The longest time between a holder's check of its lease and the order that follows. */
    static final Duration LONGEST_PAUSE = Duration.ofSeconds(30);

    private static final int STEADY_READS = 3;

    private final EngineOrders mOrders;
    private final MoveLease mLease;
    private final TimerService mTimers;
    private final EventLog mEvents;
    private final Map<String, Progress> mProgress = new TreeMap<>();

    EngineOrderer(EngineOrders orders, MoveLease lease, TimerService timers, EventLog events) {
        mOrders = orders;
        mLease = lease;
        mTimers = timers;
        mEvents = events;
    }

    /** Takes one step towards the roles; called every second. */
    void tick(Map<BackendServer, EngineRole> roles) {
        mProgress.keySet().retainAll(roles.keySet().stream().map(BackendServer::name).toList());
        roles.forEach(this::tick);
    }

    /** Returns whether every engine has taken its role and kept it. */
    boolean settled(Map<BackendServer, EngineRole> roles) {
        return roles.entrySet().stream()
                .allMatch(
                        entry -> {
                            Progress progress = mProgress.get(entry.getKey().name());
                            return progress != null
                                    && progress.mRole == entry.getValue()
                                    && progress.mFence == mLease.fence()
                                    && progress.mSteadyReads >= STEADY_READS;
                        });
    }

    private void tick(BackendServer server, EngineRole role) {
        Progress progress = mProgress.computeIfAbsent(server.name(), name -> new Progress());
        if (progress.mBusy || !mayOrder(server)) {
            return;
        }
        if (progress.mRole != role || progress.mFence != mLease.fence()) {
            give(server, progress, new EngineOrder(mLease.fence(), role));
        } else if (progress.mSteadyReads < STEADY_READS) {
            read(server, progress);
        }
    }

    private boolean mayOrder(BackendServer server) {
        boolean waits =
                server.fencing() == BackendServer.Fencing.IGNORES
                        && mLease.fence() > 1
                        && mTimers.nowMillis()
                                < mLease.heldSinceMillis() + LONGEST_PAUSE.toMillis();
        return mLease.holds() && !waits;
    }

    private void give(BackendServer server, Progress progress, EngineOrder order) {
        progress.mBusy = true;
        mOrders.give(server, order).thenAccept(answer -> onGiven(server, progress, order, answer));
    }

    private void onGiven(
            BackendServer server,
            Progress progress,
            EngineOrder order,
            Either<OrderFailure, EngineOrder> answer) {
        progress.mBusy = false;
        if (answer.isRight()) {
            progress.mRole = order.role();
            progress.mFence = order.fence();
            progress.mSteadyReads = 0;
            mEvents.log(
                    LogEvent.MOVE_ENGINE_ORDERED,
                    EventField.of("server", server.name()),
                    EventField.of("role", order.role()),
                    EventField.of("fence", order.fence()));
        } else if (answer.getLeft() == OrderFailure.OLD_FENCE && order.fence() == mLease.fence()) {
            mLease.lost();
        }
    }

    private void read(BackendServer server, Progress progress) {
        progress.mBusy = true;
        mOrders.read(server)
                .thenAccept(
                        answer -> {
                            progress.mBusy = false;
                            answer.peek(order -> onRead(progress, order));
                        });
    }

    private static void onRead(Progress progress, EngineOrder order) {
        if (order.role() == progress.mRole) {
            progress.mSteadyReads++;
        } else {
            progress.mFence = 0;
        }
    }

    /** How far one engine is. */
    private static final class Progress {
        private EngineRole mRole = EngineRole.SERVE;
        private long mFence;
        private int mSteadyReads;
        private boolean mBusy;
    }
}
