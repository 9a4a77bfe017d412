package io.rhubarbward.config;

import io.rhubarbward.platform.PlatformFailure;

/** Why settings were not accepted or not taken. */
public sealed interface ConfigFailure {
    /** Returns one line for people: the value, where it came from, and what was expected. */
    String message();

    /**
     * A file that cannot be read.
     *
     * @param file its name
     * @param detail what the system said
     */
    record UnreadableFile(String file, String detail) implements ConfigFailure {
        @Override
        public String message() {
            return file + ": cannot be read: " + detail;
        }
    }

    /**
     * Text that is not JSON with comments.
     *
     * @param at where it stands
     * @param detail what was found and what was expected
     */
    record Malformed(SourceLocation at, String detail) implements ConfigFailure {
        @Override
        public String message() {
            return at + ": not JSON with comments: " + detail;
        }
    }

    /**
     * A setting that is unknown, missing, of the wrong type or out of range.
     *
     * @param at where its value stands, or where the object stands that lacks it
     * @param path the setting's path, such as {@code accounts.acme.burst}
     * @param value the refused value; empty when it is missing
     * @param expected what was expected
     */
    record InvalidSetting(SourceLocation at, String path, String value, String expected)
            implements ConfigFailure {
        @Override
        public String message() {
            return at + ": " + path + ": " + value + ": expected " + expected;
        }
    }

    /**
     * Another operator's change was accepted first.
     *
     * @param expectedGeneration the generation that this change was made on
     * @param actualGeneration the generation in force now
     */
    record ChangedMeanwhile(long expectedGeneration, long actualGeneration)
            implements ConfigFailure {
        @Override
        public String message() {
            return "generation "
                    + actualGeneration
                    + " was accepted meanwhile; this change was made on "
                    + expectedGeneration
                    + ": read it, merge, and apply again";
        }
    }

    /**
     * The platform did not carry the call out.
     *
     * @param cause what it said
     */
    record Platform(PlatformFailure cause) implements ConfigFailure {
        @Override
        public String message() {
            return "platform: " + cause;
        }
    }

    /**
     * What the store holds does not fit together.
     *
     * @param detail what was found and what was expected
     */
    record Corrupt(String detail) implements ConfigFailure {
        @Override
        public String message() {
            return "stored configuration: " + detail;
        }
    }
}
