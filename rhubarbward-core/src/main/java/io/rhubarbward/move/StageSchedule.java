package io.rhubarbward.move;

import io.vavr.control.Option;

/**
 * Decides when a rollout advances to its next stage, and predicts whether it misses its deadline.
 *
 * <p>The stages are spread evenly over the time until the deadline, with a tenth of it in reserve.
 * A stage waits while the new version's servers are cold; the following stages then come at the
 * shortest interval that the plan allows.
 */
final class StageSchedule {
    private static final double RESERVE_FRACTION = 0.1;

    private StageSchedule() {}

    /** Returns whether the next stage is due and the new version's servers can carry its share. */
    static boolean isNextStageDue(Rollout rollout, ServiceLoad load, long nowMillis) {
        int next = nextStage(rollout);
        RolloutPlan plan = rollout.plan();
        boolean minStageTimeElapsed =
                rollout.state() == RolloutState.PLANNED
                        || nowMillis - rollout.stageSinceMillis() >= plan.minStageMillis();
        return next <= plan.lastStage()
                && minStageTimeElapsed
                && nowMillis >= stageDueMillis(plan, next)
                && load.capacityNow() > 0
                && load.requiredCapacity(plan.stagesPermille().get(next)) <= load.capacityNow();
    }

    /** Returns why the rollout is expected to miss its deadline, if it is. */
    static Option<RolloutReason> latenessReason(Rollout rollout, ServiceLoad load, long nowMillis) {
        RolloutPlan plan = rollout.plan();
        int stagesAfterNext = plan.lastStage() - nextStage(rollout);
        long remainingMinStageMillis =
                rollout.state() == RolloutState.PLANNED
                        ? 0
                        : plan.minStageMillis() - (nowMillis - rollout.stageSinceMillis());
        long earliestFinishMillis =
                nowMillis
                        + Math.max(0, remainingMinStageMillis)
                        + stagesAfterNext * plan.minStageMillis();
        if (earliestFinishMillis > plan.finishByMillis()) {
            return Option.of(RolloutReason.TIME);
        }
        int lastShare = plan.stagesPermille().get(plan.lastStage());
        return load.capacityWarm() > 0 && load.requiredCapacity(lastShare) > load.capacityWarm()
                ? Option.of(RolloutReason.CAPACITY)
                : Option.none();
    }

    /** Returns whether the watch period has passed. */
    static boolean isWatchOver(Rollout rollout, long nowMillis) {
        return nowMillis - rollout.stageSinceMillis() >= rollout.plan().watchMillis();
    }

    /** Returns the index of the next stage; 0 if the new version has no share yet. */
    static int nextStage(Rollout rollout) {
        return rollout.sharePermille() == 0 ? 0 : rollout.stage() + 1;
    }

    private static long stageDueMillis(RolloutPlan plan, int stage) {
        double usableMillis =
                (plan.finishByMillis() - plan.plannedMillis()) * (1 - RESERVE_FRACTION);
        return plan.plannedMillis() + (long) (usableMillis * stage / (plan.lastStage() + 1));
    }
}
