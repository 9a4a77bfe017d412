package io.rhubarbward.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.regex.Pattern;

/**
 * A client account: the credentials of a caller, its rate limit and its priority.
 *
 * @param name the account's name
 * @param keySha256 the SHA-256 of its bearer key, as 64 lower-case hexadecimal digits
 * @param requestsPerSecond the sustained rate limit over all routers
 * @param burst how many requests may come at once
 * @param priority which of the waiting requests are served first under overload
 */
public record ClientAccount(
        String name, String keySha256, double requestsPerSecond, int burst, Priority priority) {
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

    public ClientAccount {
        SettingCheck.matches("keySha256", keySha256, SHA256, "64 lower-case hexadecimal digits");
        SettingCheck.range("requestsPerSecond", requestsPerSecond, 0.001, 1e6);
        SettingCheck.range("burst", burst, 1, 1_000_000);
    }

    /** How urgent a request is; the constants are in the order in which they are served. */
    public enum Priority {
        @JsonProperty("high")
        HIGH(0),
        @JsonProperty("normal")
        NORMAL(5),
        @JsonProperty("low")
        LOW(10);

        private final int mEngineValue;

        Priority(int engineValue) {
            mEngineValue = engineValue;
        }

        /** Returns the priority that is sent to engines; they serve lower numbers first. */
        public int engineValue() {
            return mEngineValue;
        }
    }
}
