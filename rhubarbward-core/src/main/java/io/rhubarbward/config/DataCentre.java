package io.rhubarbward.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A data centre and whether operators let it take new work.
 *
 * @param name its name
 * @param state in or out
 */
public record DataCentre(String name, State state) {
    /** Returns whether new work may go there. */
    public boolean takesWork() {
        return state == State.IN;
    }

    /** Whether operators let a data centre take new work. */
    public enum State {
        @JsonProperty("in")
        IN("in"),
        @JsonProperty("out")
        OUT("out");

        private final String mSetting;

        State(String setting) {
            mSetting = setting;
        }

        /** Returns the state as settings spell it. */
        String setting() {
            return mSetting;
        }
    }
}
