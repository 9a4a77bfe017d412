package io.rhubarbward.move;

import java.util.Comparator;
import java.util.Map;

/**
 * What every router must know of a rollout.
 *
 * @param name its name
 * @param version the version of the platform's object that said so
 * @param service whose servers move
 * @param fromVersion the version that moves away
 * @param toVersion the version that moves in
 * @param state where it stands
 * @param sharePermille the new version's share of the chats
 * @param plannedMillis when the operator asked, in milliseconds since 1970
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
    /** Stands for all paths that no rule names. */
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

    /** Returns the longest route with a rule of its own that the path begins with, or the rest. */
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
