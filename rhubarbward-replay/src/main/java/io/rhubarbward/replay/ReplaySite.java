package io.rhubarbward.replay;

import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

/** The sites that traces are generated for, with the size of each. */
public enum ReplaySite {
    LIMA(13, 6, 2, 2000, 600, List.of("lima-norte", "lima-centro", "lima-sur")),
    KYUSHU(6, 3, 1, 800, 400, List.of("kyushu-a", "kyushu-b", "kyushu-c"));

    static final int DATA_CENTRE_COUNT = 3;
    static final int PLAIN_SERVER_COUNT = 3;
    private static final int ACCOUNT_COUNT = 9;

    private final int mEngineCount;
    private final int mVersion1Engines;
    private final int mVersion2Engines;
    private final int mChatCount;
    private final int mOrderCount;
    private final List<String> mDataCentres;

    ReplaySite(
            int engineCount,
            int version1Engines,
            int version2Engines,
            int chatCount,
            int orderCount,
            List<String> dataCentres) {
        mEngineCount = engineCount;
        mVersion1Engines = version1Engines;
        mVersion2Engines = version2Engines;
        mChatCount = chatCount;
        mOrderCount = orderCount;
        mDataCentres = dataCentres;
    }

    /** Returns the site's name as settings and traces have it. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    int engineCount() {
        return mEngineCount;
    }

    int chatCount() {
        return mChatCount;
    }

    int orderCount() {
        return mOrderCount;
    }

    int accountCount() {
        return ACCOUNT_COUNT;
    }

    String account(int index) {
        return "account-" + index;
    }

    String surgingAccount() {
        return "surging";
    }

    String engine(int index) {
        return "assistant-" + (index + 1);
    }

    /**
     * Returns the engine's version: 1 is in use at first, 2 turns bad in its rollout, 3 is good.
     */
    String version(int index) {
        if (index < mVersion1Engines) {
            return "1";
        }
        return index < mVersion1Engines + mVersion2Engines ? "2" : "3";
    }

    List<String> servers(String version) {
        return IntStream.range(0, mEngineCount)
                .filter(index -> version(index).equals(version))
                .mapToObj(this::engine)
                .toList();
    }

    String dataCentre(int index) {
        return mDataCentres.get(index % DATA_CENTRE_COUNT);
    }
}
