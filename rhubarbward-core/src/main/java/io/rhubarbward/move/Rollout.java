package io.rhubarbward.move;

import java.util.ArrayList;
import java.util.List;

/**
 * The stored state of one rollout: the platform's object {@code moves/NAME}.
 *
 * @param name the rollout's name
 * @param plan what the operator requested
 * @param state the current state
 * @param reason why the rollout is in this state
 * @param reasonRoute the route on which the fault was found; empty if there is none
 * @param stage the index of the current stage in the plan
 * @param sharePermille the new version's share of the chats
 * @param stageSinceMillis when the present stage began or the rollout ended, in milliseconds since
 *     1970
 * @param finishedMillis when the last stage was reached, in milliseconds since 1970; 0 before that
 * @param figures both versions' call counts since the start
 * @param history the history of states, shares and counts, oldest first
 * @param fence the fencing number of the controller that wrote last; 0 for an operator
 * @param nonce identifies the write, so that a writer whose answer was lost recognizes its own
 *     write
 */
public record Rollout(
        String name,
        RolloutPlan plan,
        RolloutState state,
        RolloutReason reason,
        String reasonRoute,
        int stage,
        int sharePermille,
        long stageSinceMillis,
        long finishedMillis,
        PairedFigures figures,
        List<Step> history,
        long fence,
        String nonce) {
    /** The share of a version that gets all chats. */
    public static final int FULL_SHARE_PERMILLE = 1000;

    private static final int MAX_HISTORY_STEPS = 200;

    public Rollout {
        history = List.copyOf(history);
    }

    /** Returns a new rollout in the planned state. */
    public static Rollout planned(String name, RolloutPlan plan, String nonce) {
        Rollout rollout =
                new Rollout(
                        name,
                        plan,
                        RolloutState.PLANNED,
                        RolloutReason.OPERATOR,
                        "",
                        0,
                        0,
                        plan.plannedMillis(),
                        0,
                        PairedFigures.ZERO,
                        List.of(),
                        0,
                        nonce);
        return rollout.withHistoryStep(plan.plannedMillis());
    }

    /** Returns the share of the chats that go to the new version now. */
    public int effectiveSharePermille() {
        return state.effectiveSharePermille(sharePermille);
    }

    /** Returns whether the last stage was reached after the deadline. */
    public boolean finishedLate() {
        return finishedMillis > plan.finishByMillis();
    }

    Rollout atStage(int next, long nowMillis) {
        boolean last = next == plan.lastStage();
        RolloutState nextState = state == RolloutState.PLANNED ? RolloutState.RUNNING : state;
        return withProgress(
                        last ? RolloutState.WATCHING : nextState,
                        last
                                ? RolloutReason.NONE
                                : nextState == state ? reason : RolloutReason.NONE,
                        "",
                        next,
                        plan.stagesPermille().get(next),
                        nowMillis,
                        last ? nowMillis : 0)
                .withHistoryStep(nowMillis);
    }

    Rollout late(RolloutReason reason, long nowMillis) {
        return withProgress(
                        RolloutState.LATE, reason, "", stage, sharePermille, stageSinceMillis, 0)
                .withHistoryStep(nowMillis);
    }

    Rollout done(long nowMillis) {
        return withProgress(
                        RolloutState.DONE,
                        RolloutReason.NONE,
                        "",
                        stage,
                        FULL_SHARE_PERMILLE,
                        nowMillis,
                        finishedMillis)
                .withHistoryStep(nowMillis);
    }

    /** Returns the rollout rolled back: the old version has all work again. */
    public Rollout takenBack(RolloutReason reason, String route, long nowMillis) {
        return withProgress(
                        RolloutState.TAKEN_BACK, reason, route, stage, 0, nowMillis, finishedMillis)
                .withHistoryStep(nowMillis);
    }

    /** Returns the rollout with the counts added to its figures. */
    Rollout withCounts(PairedFigures counts) {
        return new Rollout(
                name,
                plan,
                state,
                reason,
                reasonRoute,
                stage,
                sharePermille,
                stageSinceMillis,
                finishedMillis,
                figures.plus(counts),
                history,
                fence,
                nonce);
    }

    /** Returns the rollout with the fencing number and the nonce of the write. */
    public Rollout withWriter(long fence, String nonce) {
        return new Rollout(
                name,
                plan,
                state,
                reason,
                reasonRoute,
                stage,
                sharePermille,
                stageSinceMillis,
                finishedMillis,
                figures,
                history,
                fence,
                nonce);
    }

    private Rollout withProgress(
            RolloutState state,
            RolloutReason reason,
            String reasonRoute,
            int stage,
            int sharePermille,
            long stageSinceMillis,
            long finishedMillis) {
        return new Rollout(
                name,
                plan,
                state,
                reason,
                reasonRoute,
                stage,
                sharePermille,
                stageSinceMillis,
                finishedMillis,
                figures,
                history,
                fence,
                nonce);
    }

    /** Returns the rollout with its present state added to the history. */
    Rollout withHistoryStep(long nowMillis) {
        List<Step> steps = new ArrayList<>(history);
        steps.add(new Step(nowMillis, state, effectiveSharePermille(), figures));
        List<Step> kept = steps.size() <= MAX_HISTORY_STEPS ? steps : thinOut(steps);
        return new Rollout(
                name,
                plan,
                state,
                reason,
                reasonRoute,
                stage,
                sharePermille,
                stageSinceMillis,
                finishedMillis,
                figures,
                kept,
                fence,
                nonce);
    }

    /** Keeps the steps that change the state or the share, and every second one of the others. */
    private static List<Step> thinOut(List<Step> steps) {
        List<Step> kept = new ArrayList<>();
        boolean skip = false;
        for (int i = 0; i < steps.size(); i++) {
            Step step = steps.get(i);
            boolean isChange =
                    i == 0 || i == steps.size() - 1 || !step.hasSameStateAndShare(steps.get(i - 1));
            skip = !isChange && !skip;
            if (!skip) {
                kept.add(step);
            }
        }
        return kept;
    }

    /**
     * One entry of a rollout's history.
     *
     * @param atMillis when it was recorded, in milliseconds since 1970
     * @param state the state from then on
     * @param sharePermille the new version's share from then on
     * @param figures both versions' call counts from the start to then
     */
    public record Step(
            long atMillis, RolloutState state, int sharePermille, PairedFigures figures) {
        boolean hasSameStateAndShare(Step other) {
            return state == other.state && sharePermille == other.sharePermille;
        }
    }
}
