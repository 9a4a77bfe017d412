package io.rhubarbward.move;

/**
 * What a route's calls may look like before the new version is blamed.
 *
 * <p>A version is taken back only if it is both worse than the old one in the same minutes and
 * above these ratios.
 *
 * @param errorRatio failed calls of all calls
 * @param firstTokenMillis a call whose first token comes later counts as slow
 * @param betweenTokensMillis a call with a longer mean time between tokens counts as slow
 * @param slowRatio slow calls of all timed calls
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

    private static void require(boolean holds, String message) {
        if (!holds) {
            throw new IllegalArgumentException(message);
        }
    }
}
