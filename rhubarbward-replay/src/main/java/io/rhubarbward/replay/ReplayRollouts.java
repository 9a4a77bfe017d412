package io.rhubarbward.replay;

import io.rhubarbward.move.Rollout;
import io.rhubarbward.move.RolloutPlan;
import io.rhubarbward.move.RolloutStore;
import io.rhubarbward.store.ObjectStore;
import io.rhubarbward.timer.VirtualTimerService;
import java.util.Map;
import java.util.TreeMap;

/** Starts a replay's rollouts through the store, as an operator does, and reads their results. */
final class ReplayRollouts {
    private static final long MIN_STAGE_MILLIS = 30_000;

    private final RolloutStore mStore;
    private final VirtualTimerService mTimers;
    private final PromiseChecker mPromises;
    private final Map<String, String> mResultByRollout = new TreeMap<>();

    ReplayRollouts(ObjectStore store, VirtualTimerService timers, PromiseChecker promises) {
        mStore = new RolloutStore(store);
        mTimers = timers;
        mPromises = promises;
    }

    void start(TraceEvent.RolloutStart start) {
        long now = mTimers.epochMillis();
        RolloutPlan plan =
                new RolloutPlan(
                        start.service(),
                        start.fromVersion(),
                        start.toVersion(),
                        now,
                        now + start.finishMillis(),
                        RolloutPlan.DEFAULT_STAGES,
                        MIN_STAGE_MILLIS,
                        start.watchMillis(),
                        Map.of());
        mStore.start(Rollout.planned(start.name(), plan, "replay-" + start.name()))
                .thenAccept(
                        created ->
                                mPromises.recordEvent("rollout " + start.name() + " " + created));
        mTimers.runDue();
    }

    /** Returns the state and reason of each rollout by name, marked if it finished late. */
    Map<String, String> results() {
        mStore.list().thenAccept(listed -> listed.peek(this::addResults));
        mTimers.runDue();
        return mResultByRollout;
    }

    private void addResults(java.util.List<io.rhubarbward.move.StoredRollout> rollouts) {
        rollouts.forEach(
                stored ->
                        mResultByRollout.put(
                                stored.rollout().name(),
                                stored.rollout().state()
                                        + " "
                                        + stored.rollout().reason()
                                        + (stored.rollout().finishedLate() ? " late" : "")));
    }
}
