package io.rhubarbward.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A data centre and whether operators let it take new work.
 *
 * @param name the data centre's name
 * @param state whether it takes new work
 */
public record DataCentre(String name, State state) {
    /** Returns whether new work may be sent to the data centre. */
    public boolean takesWork() {
        return state == State.IN;
    }

    /** Whether operators let a data centre take new work. */
    public enum State {
        @JsonProperty("in")
        IN("in"),
        @JsonProperty("out")
        OUT("out");

        private final String mSettingValue;

        State(String settingValue) {
            mSettingValue = settingValue;
        }

        /** Returns the state's value in the settings. */
        String settingValue() {
            return mSettingValue;
        }
    }
}
