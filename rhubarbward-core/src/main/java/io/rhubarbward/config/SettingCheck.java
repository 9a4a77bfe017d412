package io.rhubarbward.config;

import java.util.regex.Pattern;

/** Checks that the settings records make of their components. */
final class SettingCheck {
    private SettingCheck() {}

    static void range(String setting, double value, double min, double max) {
        that(setting, value, value >= min && value <= max, "from " + min + " to " + max);
    }

    static void range(String setting, int value, int min, int max) {
        that(setting, value, value >= min && value <= max, "from " + min + " to " + max);
    }

    static void matches(String setting, String value, Pattern pattern, String expected) {
        that(setting, value, pattern.matcher(value).matches(), expected);
    }

    static void that(String setting, Object value, boolean holds, String expected) {
        if (!holds) {
            throw new InvalidSettingException(setting, value, expected);
        }
    }
}
