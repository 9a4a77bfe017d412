package io.rhubarbward.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/** The server that last answered each of the chats that this router saw most recently. */
final class ReturningChats {
    /** Chats remembered: 16 minutes of one router's requests at the target of 17 a second. */
    private static final int MAX_CHATS = 16_384;

    private static final float LOAD_FACTOR = 0.75f;

    private final Map<String, String> mServers =
            new LinkedHashMap<>(16, LOAD_FACTOR, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
                    return size() > MAX_CHATS;
                }
            };

    /** Notes who answered the chat; returns whether the same server did so the last time. */
    boolean answered(String chat, String server) {
        return server.equals(mServers.put(chat, server));
    }
}
