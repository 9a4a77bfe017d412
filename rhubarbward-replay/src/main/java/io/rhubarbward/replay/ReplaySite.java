package io.rhubarbward.replay;

import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

/** The sites at whose sizes traces are made. */
public enum ReplaySite {
    LIMA(13, 6, 2, 2000, 600, List.of("lima-norte", "lima-centro", "lima-sur")),
    KYUSHU(6, 3, 1, 800, 400, List.of("kyushu-a", "kyushu-b", "kyushu-c"));

    static final int DATA_CENTRES = 3;
    static final int PLAIN_SERVERS = 3;
    private static final int ACCOUNTS = 9;

    private final int mEngines;
    private final int mOldEngines;
    private final int mBadEngines;
    private final int mChats;
    private final int mOrders;
    private final List<String> mDataCentres;

    ReplaySite(
            int engines,
            int oldEngines,
            int badEngines,
            int chats,
            int orders,
            List<String> dataCentres) {
        mEngines = engines;
        mOldEngines = oldEngines;
        mBadEngines = badEngines;
        mChats = chats;
        mOrders = orders;
        mDataCentres = dataCentres;
    }

    /** Returns the site's name in settings. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    int engines() {
        return mEngines;
    }

    int chats() {
        return mChats;
    }

    int orders() {
        return mOrders;
    }

    int accounts() {
        return ACCOUNTS;
    }

    String account(int index) {
        return "account-" + index;
    }

    String smallAccount() {
        return "surging";
    }

    String engine(int index) {
        return "assistant-" + (index + 1);
    }

    /** Returns the engine's version: 1 has the work at first, 2 turns bad, 3 is good. */
    String version(int index) {
        if (index < mOldEngines) {
            return "1";
        }
        return index < mOldEngines + mBadEngines ? "2" : "3";
    }

    List<String> servers(String version) {
        return IntStream.range(0, mEngines)
                .filter(index -> version(index).equals(version))
                .mapToObj(this::engine)
                .toList();
    }

    String dataCentre(int index) {
        return mDataCentres.get(index % DATA_CENTRES);
    }
}
