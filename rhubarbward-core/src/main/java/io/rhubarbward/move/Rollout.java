package io.rhubarbward.move;

import java.util.ArrayList;
import java.util.List;

/**
 * A rollout as the platform's object {@code moves/NAME} records it.
 *
 * @param name its name
 * @param plan what the operator asked
 * @param state where it stands
 * @param reason why
 * @param reasonRoute the route that decided; empty when none did
 * @param stage the index of the stage
 * @param sharePermille the new version's share of the chats
 * @param stageSinceMillis since when it is at the stage, in milliseconds since 1970
 * @param finishedMillis when the last stage was reached; 0 before
 * @param figures what was counted since the start
 * @param history its course, oldest first
 * @param fence the fencing number of the controller that wrote last; 0 for an operator
 * @param nonce tells the writer that a write whose answer was lost was its own
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
    /** The share of everything. */
    public static final int WHOLE_PERMILLE = 1000;

    private static final int MAX_HISTORY = 200;

    public Rollout {
        history = List.copyOf(history);
    }

    /** Returns a rollout that has not begun. */
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
        return rollout.recorded(plan.plannedMillis());
    }

    /** Returns the share of the chats that go to the new version now. */
    public int effectiveSharePermille() {
        return state.share(sharePermille);
    }

    /** Returns whether the last stage came after the set time. */
    public boolean finishedLate() {
        return finishedMillis > plan.finishByMillis();
    }

    Rollout atStage(int next, long nowMillis) {
        boolean last = next == plan.lastStage();
        RolloutState following = state == RolloutState.PLANNED ? RolloutState.RUNNING : state;
        return with(
                        last ? RolloutState.WATCHING : following,
                        last
                                ? RolloutReason.NONE
                                : following == state ? reason : RolloutReason.NONE,
                        "",
                        next,
                        plan.stagesPermille().get(next),
                        nowMillis,
                        last ? nowMillis : 0)
                .recorded(nowMillis);
    }

    Rollout late(RolloutReason why, long nowMillis) {
        return with(RolloutState.LATE, why, "", stage, sharePermille, stageSinceMillis, 0)
                .recorded(nowMillis);
    }

    Rollout done(long nowMillis) {
        return with(
                        RolloutState.DONE,
                        RolloutReason.NONE,
                        "",
                        stage,
                        WHOLE_PERMILLE,
                        nowMillis,
                        finishedMillis)
                .recorded(nowMillis);
    }

    /** Returns the rollout with all work back at the old version. */
    public Rollout takenBack(RolloutReason why, String route, long nowMillis) {
        return with(RolloutState.TAKEN_BACK, why, route, stage, 0, nowMillis, finishedMillis)
                .recorded(nowMillis);
    }

    /** Returns the rollout with counts added that its record does not have yet. */
    Rollout counted(PairedFigures counts) {
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

    /** Returns the rollout as the writer signs it. */
    public Rollout signed(long fence, String nonce) {
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

    private Rollout with(
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

    /** Returns the rollout with a line added to its course. */
    Rollout recorded(long nowMillis) {
        List<Step> steps = new ArrayList<>(history);
        steps.add(new Step(nowMillis, state, effectiveSharePermille(), figures));
        List<Step> kept = steps.size() <= MAX_HISTORY ? steps : thinned(steps);
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

    /** Keeps changes of state or share, and every second one of the others. */
    private static List<Step> thinned(List<Step> steps) {
        List<Step> kept = new ArrayList<>();
        boolean skip = false;
        for (int i = 0; i < steps.size(); i++) {
            Step step = steps.get(i);
            boolean change = i == 0 || i == steps.size() - 1 || !step.sameCourse(steps.get(i - 1));
            skip = !change && !skip;
            if (!skip) {
                kept.add(step);
            }
        }
        return kept;
    }

    /**
     * One line of a rollout's course.
     *
     * @param atMillis when, in milliseconds since 1970
     * @param state where it stood
     * @param sharePermille the new version's share from then on
     * @param figures what had been counted since the start
     */
    public record Step(
            long atMillis, RolloutState state, int sharePermille, PairedFigures figures) {
        boolean sameCourse(Step other) {
            return state == other.state && sharePermille == other.sharePermille;
        }
    }
}
