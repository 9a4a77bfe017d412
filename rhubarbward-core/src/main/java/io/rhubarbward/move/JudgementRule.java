package io.rhubarbward.move;

/**
 * The error and latency thresholds of a route that a new version may not exceed.
 *
 * <p>A version is rolled back only if it is both worse than the old version over the same time and
 * above these thresholds.
 *
 * @param errorRatio the accepted ratio of failed calls to all calls
 * @param firstTokenMillis a call whose first token takes longer counts as slow
 * @param betweenTokensMillis a call whose mean time between tokens is longer counts as slow
 * @param slowRatio the accepted ratio of slow calls to all timed calls
 */
public record JudgementRule(
        double errorRatio, long firstTokenMillis, long betweenTokensMillis, double slowRatio) {
    /** The rule for routes without one of their own. */
    public static final JudgementRule DEFAULT = new JudgementRule(0.01, 770, 32, 0.05);

    public JudgementRule {
        require(errorRatio >= 0 && errorRatio < 1, "errorRatio: expected from 0 to below 1");
        require(slowRatio >= 0 && slowRatio < 1, "slowRatio: expected from 0 to below 1");
        require(firstTokenMillis > 0, "firstTokenMillis: expected above 0");
        require(betweenTokensMillis > 0, "betweenTokensMillis: expected above 0");
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
