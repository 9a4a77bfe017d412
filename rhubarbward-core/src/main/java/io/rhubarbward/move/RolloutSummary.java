package io.rhubarbward.move;

import java.util.Comparator;
import java.util.Map;

/**
 * The part of a rollout's state that every router needs.
 *
 * @param name the rollout's name
 * @param version the version of the platform's object that the summary was made from
 * @param service the service whose traffic moves
 * @param fromVersion the version that the rollout replaces
 * @param toVersion the version that the rollout introduces
 * @param state the current state
 * @param sharePermille the new version's share of the chats
 * @param plannedMillis when the operator requested the rollout, in milliseconds since 1970
 * @param rules the judgement rules by route
 */
public record RolloutSummary(
        String name,
        long version,
        String service,
        String fromVersion,
        String toVersion,
        RolloutState state,
        int sharePermille,
        long plannedMillis,
        Map<String, JudgementRule> rules) {
    /** The route of all paths that match no rule. */
    static final String OTHER_ROUTES = "/";

    public RolloutSummary {
        rules = Map.copyOf(rules);
    }

    static RolloutSummary of(StoredRollout stored) {
        Rollout rollout = stored.rollout();
        RolloutPlan plan = rollout.plan();
        return new RolloutSummary(
                rollout.name(),
                stored.version(),
                plan.service(),
                plan.fromVersion(),
                plan.toVersion(),
                rollout.state(),
                rollout.sharePermille(),
                plan.plannedMillis(),
                plan.rules());
    }

    /**
     * Returns the longest route with a rule that the path starts with, or {@link #OTHER_ROUTES}.
     */
    String route(String path) {
        return rules.keySet().stream()
                .filter(path::startsWith)
                .max(Comparator.comparingInt(String::length))
                .orElse(OTHER_ROUTES);
    }

    JudgementRule rule(String route) {
        return rules.getOrDefault(route, JudgementRule.DEFAULT);
    }
}
