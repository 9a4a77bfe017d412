package io.rhubarbward.move;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * An operator's request for a rollout.
 *
 * @param service the service whose traffic moves
 * @param fromVersion the version that serves the traffic before the rollout
 * @param toVersion the version that takes the traffic over
 * @param plannedMillis when the operator requested the rollout, in milliseconds since 1970
 * @param finishByMillis the deadline for reaching the last stage, in milliseconds since 1970
 * @param stagesPermille the new version's share at each stage; the last stage leaves the old
 *     version a control group until the watch period is over
 * @param minStageMillis the shortest time to stay at a stage
 * @param watchMillis how long the new version is still judged after the last stage was reached
 * @param rules the judgement rule of each route, by path prefix; each of these routes is judged on
 *     its own, and all other paths are judged together by the default rule
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
    /** The stages when the operator specifies none. */
    public static final List<Integer> DEFAULT_STAGES = List.of(10, 50, 100, 250, 500, 950);

    /** The largest share of the last stage; the old version keeps the rest as a control group. */
    public static final int MAX_LAST_STAGE_PERMILLE = 980;

    public RolloutPlan {
        stagesPermille = List.copyOf(stagesPermille);
        rules = Map.copyOf(rules);
        require(
                !fromVersion.equals(toVersion),
                "fromVersion and toVersion: expected different versions");
        require(finishByMillis > plannedMillis, "finishByMillis: expected after plannedMillis");
        require(minStageMillis > 0, "minStageMillis: expected above 0");
        require(watchMillis >= 0, "watchMillis: expected 0 or above");
        require(isRising(stagesPermille), "stages: expected rising shares from 1 to 980 permille");
    }

    private static boolean isRising(List<Integer> stages) {
        return !stages.isEmpty()
                && stages.get(0) > 0
                && stages.get(stages.size() - 1) <= MAX_LAST_STAGE_PERMILLE
                && IntStream.range(1, stages.size())
                        .allMatch(i -> stages.get(i) > stages.get(i - 1));
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }

    /** Returns the route's rule, or the default rule if it has none of its own. */
    public JudgementRule rule(String route) {
        return rules.getOrDefault(route, JudgementRule.DEFAULT);
    }

    int lastStage() {
        return stagesPermille.size() - 1;
    }
}
