package io.rhubarbward.move;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * What an operator asks of a rollout.
 *
 * @param service whose servers move
 * @param fromVersion the version that has the work now
 * @param toVersion the version that is to get it
 * @param plannedMillis when the operator asked, in milliseconds since 1970
 * @param finishByMillis when the last stage must be reached, in milliseconds since 1970
 * @param stagesPermille the new version's share at each stage; the last leaves the old version a
 *     control group until the watch is over
 * @param minStageMillis the shortest time at a stage
 * @param watchMillis how long the new version is judged after the last stage was reached
 * @param rules the judgement rule of each route, by path prefix; each is judged on its own, and all
 *     other paths together by the default rule
 */
public record RolloutPlan(
        String service,
        String fromVersion,
        String toVersion,
        long plannedMillis,
        long finishByMillis,
        List<Integer> stagesPermille,
        long minStageMillis,
        long watchMillis,
        Map<String, JudgementRule> rules) {
    /** The shares when the operator names none. */
    public static final List<Integer> DEFAULT_STAGES = List.of(10, 50, 100, 250, 500, 950);

    /** The largest last stage, so that the old version's same minutes can be compared. */
    public static final int MAX_LAST_STAGE_PERMILLE = 980;

    public RolloutPlan {
        stagesPermille = List.copyOf(stagesPermille);
        rules = Map.copyOf(rules);
        require(!fromVersion.equals(toVersion), "versions: expected two that differ");
        require(finishByMillis > plannedMillis, "finishByMillis: expected after plannedMillis");
        require(minStageMillis > 0, "minStageMillis: expected above 0");
        require(watchMillis >= 0, "watchMillis: expected 0 or above");
        require(rising(stagesPermille), "stages: expected rising shares from 1 to 980 permille");
    }

    private static boolean rising(List<Integer> stages) {
        return !stages.isEmpty()
                && stages.get(0) > 0
                && stages.get(stages.size() - 1) <= MAX_LAST_STAGE_PERMILLE
                && IntStream.range(1, stages.size())
                        .allMatch(i -> stages.get(i) > stages.get(i - 1));
    }

    private static void require(boolean holds, String message) {
        if (!holds) {
            throw new IllegalArgumentException(message);
        }
    }

    /** Returns the rule for the route. */
    public JudgementRule rule(String route) {
        return rules.getOrDefault(route, JudgementRule.DEFAULT);
    }

    int lastStage() {
        return stagesPermille.size() - 1;
    }
}
