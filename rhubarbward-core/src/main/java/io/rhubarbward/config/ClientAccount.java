package io.rhubarbward.config;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.regex.Pattern;

/**
 * A client account: who may call, how much, and how urgently.
 *
 * @param name its name
 * @param keySha256 the SHA-256 of its bearer key, 64 hexadecimal digits
 * @param requestsPerSecond the sustained rate over the whole fleet
 * @param burst requests that may come at once
 * @param priority how its requests stand against others under overload
 */
public record ClientAccount(
        String name, String keySha256, double requestsPerSecond, int burst, Priority priority) {
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

    public ClientAccount {
        SettingCheck.matches("keySha256", keySha256, SHA256, "64 lower-case hexadecimal digits");
        SettingCheck.range("requestsPerSecond", requestsPerSecond, 0.001, 1e6);
        SettingCheck.range("burst", burst, 1, 1_000_000);
    }

    /** How urgent a request is; the order is that of service. */
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

        /** Returns the number passed on to engines, where a lower one is served first. */
        public int engineValue() {
            return mEngineValue;
        }
    }
}
