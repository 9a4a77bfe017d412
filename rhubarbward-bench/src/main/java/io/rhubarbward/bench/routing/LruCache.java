package io.rhubarbward.bench.routing;

import java.util.LinkedHashSet;
import java.util.Set;

/** A cache of chats' prefixes that forgets the one unused for longest. */
final class LruCache {
    private final int mChats;
    private final Set<Integer> mHeld = new LinkedHashSet<>();

    LruCache(int chats) {
        mChats = chats;
    }

    int size() {
        return mHeld.size();
    }

    /** Uses the chat's prefix and holds it; returns whether it was held before. */
    boolean touch(int chat) {
        boolean held = mHeld.remove(chat);
        mHeld.add(chat);
        if (mHeld.size() > mChats) {
            mHeld.remove(mHeld.iterator().next());
        }
        return held;
    }
}
