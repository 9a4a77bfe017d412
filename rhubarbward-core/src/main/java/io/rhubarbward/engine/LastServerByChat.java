package io.rhubarbward.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/** Bounded LRU map from a chat to the server that last answered it. */
final class LastServerByChat {
    /** 16 minutes of one router's requests at the target rate of 17 a second. */
    private static final int MAX_CHATS = 16_384;

    private static final float LOAD_FACTOR = 0.75f;

    private final Map<String, String> mServerByChat =
            new LinkedHashMap<>(16, LOAD_FACTOR, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
                    return size() > MAX_CHATS;
                }
            };

    /** Records that the server answered the chat; returns whether it also did the last time. */
    boolean record(String chat, String server) {
        return server.equals(mServerByChat.put(chat, server));
    }
}
