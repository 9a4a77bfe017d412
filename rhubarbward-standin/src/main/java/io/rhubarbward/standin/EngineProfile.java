package io.rhubarbward.standin;

/**
 * How a stand-in engine behaves.
 *
 * @param firstTokenMillis until the first token when the chat's prompt is cached
 * @param missMillis more until the first token when it is not
 * @param betweenTokensMillis between two tokens
 * @param tokens tokens in an answer
 * @param cachedChats chats whose prompts it holds
 * @param cutAfterTokens tokens after which the connection is cut; 0 for never
 * @param silent whether it takes requests and answers nothing
 */
public record EngineProfile(
        int firstTokenMillis,
        int missMillis,
        int betweenTokensMillis,
        int tokens,
        int cachedChats,
        int cutAfterTokens,
        boolean silent) {
    /** A quick engine without faults. */
    public static final EngineProfile QUICK = new EngineProfile(2, 10, 1, 8, 1000, 0, false);

    /** Returns this profile with the tokens after which answers are cut. */
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

    /** Returns this profile silent or not. */
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

    /** Returns this profile with the tokens of an answer and the time between two. */
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
