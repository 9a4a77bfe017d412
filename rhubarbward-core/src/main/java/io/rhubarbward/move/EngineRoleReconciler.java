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
 * Brings engines to their desired roles, under the lease and its fencing number.
 *
 * <p>An engine that refuses old fencing numbers gets its order at once. An engine that ignores them
 * might still accept an order of a former lease holder whose process was paused: for such an engine
 * the new holder waits for the longest assumed pause, gives the order, and reads it back until the
 * role has been stable.
 */
final class EngineRoleReconciler {
    /** The longest assumed time between a holder's lease check and the order that follows it. */
    static final Duration MAX_ASSUMED_PAUSE = Duration.ofSeconds(30);

    private static final int REQUIRED_STABLE_READS = 3;

    private final EngineOrders mOrders;
    private final RolloutLease mLease;
    private final TimerService mTimers;
    private final EventLog mEvents;
    private final Map<String, Progress> mProgress = new TreeMap<>();

    EngineRoleReconciler(
            EngineOrders orders, RolloutLease lease, TimerService timers, EventLog events) {
        mOrders = orders;
        mLease = lease;
        mTimers = timers;
        mEvents = events;
    }

    /** Gives or reads back one order for each engine, if needed; called every second. */
    void tick(Map<BackendServer, EngineRole> roles) {
        mProgress.keySet().retainAll(roles.keySet().stream().map(BackendServer::name).toList());
        roles.forEach(this::tick);
    }

    /** Returns whether every engine has accepted its role and kept it over several reads. */
    boolean isSettled(Map<BackendServer, EngineRole> roles) {
        return roles.entrySet().stream()
                .allMatch(
                        entry -> {
                            Progress progress = mProgress.get(entry.getKey().name());
                            return progress != null
                                    && progress.mRole == entry.getValue()
                                    && progress.mFence == mLease.fence()
                                    && progress.mStableReads >= REQUIRED_STABLE_READS;
                        });
    }

    private void tick(BackendServer server, EngineRole role) {
        Progress progress = mProgress.computeIfAbsent(server.name(), name -> new Progress());
        if (progress.mCallPending || !mayOrder(server)) {
            return;
        }
        if (progress.mRole != role || progress.mFence != mLease.fence()) {
            give(server, progress, new EngineOrder(mLease.fence(), role));
        } else if (progress.mStableReads < REQUIRED_STABLE_READS) {
            read(server, progress);
        }
    }

    private boolean mayOrder(BackendServer server) {
        boolean mustWait =
                server.fencing() == BackendServer.Fencing.IGNORES
                        && mLease.fence() > 1
                        && mTimers.nowMillis()
                                < mLease.heldSinceMillis() + MAX_ASSUMED_PAUSE.toMillis();
        return mLease.holds() && !mustWait;
    }

    private void give(BackendServer server, Progress progress, EngineOrder order) {
        progress.mCallPending = true;
        mOrders.give(server, order)
                .thenAccept(answer -> onOrderAnswer(server, progress, order, answer));
    }

    private void onOrderAnswer(
            BackendServer server,
            Progress progress,
            EngineOrder order,
            Either<OrderFailure, EngineOrder> answer) {
        progress.mCallPending = false;
        if (answer.isRight()) {
            progress.mRole = order.role();
            progress.mFence = order.fence();
            progress.mStableReads = 0;
            mEvents.log(
                    LogEvent.MOVE_ENGINE_ORDERED,
                    EventField.of("server", server.name()),
                    EventField.of("role", order.role()),
                    EventField.of("fence", order.fence()));
        } else if (answer.getLeft() == OrderFailure.OLD_FENCE && order.fence() == mLease.fence()) {
            mLease.markLost();
        }
    }

    private void read(BackendServer server, Progress progress) {
        progress.mCallPending = true;
        mOrders.read(server)
                .thenAccept(
                        answer -> {
                            progress.mCallPending = false;
                            answer.peek(order -> onRead(progress, order));
                        });
    }

    private static void onRead(Progress progress, EngineOrder order) {
        if (order.role() == progress.mRole) {
            progress.mStableReads++;
        } else {
            progress.mFence = 0;
        }
    }

    /** The last accepted role of one engine, and how often it was read back unchanged. */
    private static final class Progress {
        private EngineRole mRole = EngineRole.SERVE;
        private long mFence;
        private int mStableReads;
        private boolean mCallPending;
    }
}
