package io.rhubarbward.replay;

import java.util.Locale;

/** Invariants that a replay checks: guarantees to callers, operators and backend servers. */
public enum Promise {
    LOAD_BOUNDED("No engine carries more than a set multiple of the mean load"),
    COLD_SPARED("A backend server in cold start gets no more work than it can bear"),
    OUT_GETS_NOTHING("A data centre that is out gets no new work after a few seconds"),
    BAD_VERSION_CONTAINED("A bad version gets a small share, and none soon after its faults show"),
    ANSWERS_WHOLE("Each caller gets the whole answer to its own request"),
    NOT_RUN_TRUE("A refusal that says not-run is true"),
    RUN_ONCE("A non-idempotent request runs at most once"),
    LEAVING_GETS_NOTHING("A leaving backend server gets no new work after a few seconds"),
    STOPS_CUT_NOTHING("A planned stop cuts no request"),
    CONFIG_IN_FORCE("An accepted configuration is in force everywhere within seconds, for good");

    private final String mText;

    Promise(String text) {
        mText = text;
    }

    /** Returns the promise in one sentence. */
    public String text() {
        return mText;
    }

    /** Returns the name as reports print it, such as {@code load-bounded}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
