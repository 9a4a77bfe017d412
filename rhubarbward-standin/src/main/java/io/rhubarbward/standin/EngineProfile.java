package io.rhubarbward.standin;

/**
 * The simulated speed, cache size and faults of a stand-in engine.
 *
 * @param firstTokenMillis time to the first token if the chat's prompt is cached
 * @param missMillis additional time to the first token if the chat's prompt is not cached
 * @param betweenTokensMillis time between two tokens
 * @param tokens number of tokens in an answer
 * @param cachedChats maximum number of chats whose prompts are cached
 * @param cutAfterTokens number of tokens after which the connection of a streamed answer is cut; 0
 *     for never
 * @param silent whether chat requests are accepted but never answered
 */
public record EngineProfile(
        int firstTokenMillis,
        int missMillis,
        int betweenTokensMillis,
        int tokens,
        int cachedChats,
        int cutAfterTokens,
        boolean silent) {
    /** An engine with short delays and without faults. */
    public static final EngineProfile QUICK = new EngineProfile(2, 10, 1, 8, 1000, 0, false);

    /** Returns a copy with the number of tokens after which streamed answers are cut. */
    public EngineProfile withCutAfterTokens(int cutAfterTokens) {
        return new EngineProfile(
                firstTokenMillis,
                missMillis,
                betweenTokensMillis,
                tokens,
                cachedChats,
                cutAfterTokens,
                silent);
    }

    /** Returns a copy that answers chat requests or leaves them unanswered. */
    public EngineProfile withSilent(boolean silent) {
        return new EngineProfile(
                firstTokenMillis,
                missMillis,
                betweenTokensMillis,
                tokens,
                cachedChats,
                cutAfterTokens,
                silent);
    }

    /** Returns a copy with the number of tokens in an answer and the time between two tokens. */
    public EngineProfile withTokens(int tokens, int betweenTokensMillis) {
        return new EngineProfile(
                firstTokenMillis,
                missMillis,
                betweenTokensMillis,
                tokens,
                cachedChats,
                cutAfterTokens,
                silent);
    }
}
