package io.rhubarbward.move;

import io.vavr.control.Option;

/**
 * Says when a rollout goes on.
 *
 * <p>Stages are spread evenly over the time until the set time, with a reserve at the end. A stage
 * waits for servers that are still cold, and the ones after it then follow at the shortest time
 * that the plan allows.
 */
final class Pace {
    private static final double RESERVE = 0.1;

    private Pace() {}

    /** Returns whether the next stage is due and can be carried. */
    static boolean stepDue(Rollout rollout, ServiceLoad load, long nowMillis) {
        int next = next(rollout);
        RolloutPlan plan = rollout.plan();
        boolean rested =
                rollout.state() == RolloutState.PLANNED
                        || nowMillis - rollout.stageSinceMillis() >= plan.minStageMillis();
        return next <= plan.lastStage()
                && rested
                && nowMillis >= dueMillis(plan, next)
                && load.capacityNow() > 0
                && load.need(plan.stagesPermille().get(next)) <= load.capacityNow();
    }

    /** Returns why the rollout will miss its set time, as far as can be told now. */
    static Option<RolloutReason> lateness(Rollout rollout, ServiceLoad load, long nowMillis) {
        RolloutPlan plan = rollout.plan();
        int left = plan.lastStage() - next(rollout);
        long rest =
                rollout.state() == RolloutState.PLANNED
                        ? 0
                        : plan.minStageMillis() - (nowMillis - rollout.stageSinceMillis());
        long soonest = nowMillis + Math.max(0, rest) + left * plan.minStageMillis();
        if (soonest > plan.finishByMillis()) {
            return Option.of(RolloutReason.TIME);
        }
        int lastShare = plan.stagesPermille().get(plan.lastStage());
        return load.capacityWarm() > 0 && load.need(lastShare) > load.capacityWarm()
                ? Option.of(RolloutReason.CAPACITY)
                : Option.none();
    }

    /** Returns whether the watch is over. */
    static boolean watched(Rollout rollout, long nowMillis) {
        return nowMillis - rollout.stageSinceMillis() >= rollout.plan().watchMillis();
    }

    /** Returns the index of the stage that comes next. */
    static int next(Rollout rollout) {
        return rollout.sharePermille() == 0 ? 0 : rollout.stage() + 1;
    }

    private static long dueMillis(RolloutPlan plan, int stage) {
        double time = (plan.finishByMillis() - plan.plannedMillis()) * (1 - RESERVE);
        return plan.plannedMillis() + (long) (time * stage / (plan.lastStage() + 1));
    }
}
