package io.rhubarbward.config;

import java.util.regex.Pattern;

/** Checks by which the settings records validate their components. */
final class SettingCheck {
    private SettingCheck() {}

    static void range(String setting, double value, double min, double max) {
        require(setting, value, value >= min && value <= max, "from " + min + " to " + max);
    }

    static void range(String setting, int value, int min, int max) {
        require(setting, value, value >= min && value <= max, "from " + min + " to " + max);
    }

    static void matches(String setting, String value, Pattern pattern, String expected) {
        require(setting, value, pattern.matcher(value).matches(), expected);
    }

    static void require(String setting, Object value, boolean valid, String expected) {
        if (!valid) {
            throw new InvalidSettingException(setting, value, expected);
        }
    }
}
