package io.rhubarbward.config;

import io.rhubarbward.store.PlatformFailure;
import java.util.List;
import java.util.stream.Collectors;

/** The reason for which settings could not be read, accepted or put into force. */
public sealed interface ConfigFailure {
    /** Returns a message for operators: the value, where it came from, and what was expected. */
    String message();

    /**
     * A file that cannot be read.
     *
     * @param file the file's name
     * @param detail the operating system's error
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
     * @param at the location of the error
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
     * @param at the location of the value; if it is missing, of the object that lacks it
     * @param path the setting's path, such as {@code accounts.acme.burst}
     * @param value the refused value, as JSON; empty if it is missing
     * @param expected the values that are allowed
     */
    record InvalidSetting(SourceLocation at, String path, String value, String expected)
            implements ConfigFailure {
        @Override
        public String message() {
            return at + ": " + path + ": " + value + ": expected " + expected;
        }
    }

    /**
     * Another operator's change was accepted since the generation that this change was made on.
     *
     * @param expectedGeneration the generation that this change was made on
     * @param actualGeneration the newest accepted generation
     * @param differences the settings that differ between the two; empty if they cannot be read,
     *     for example since the older generation is no longer kept
     */
    record ChangedMeanwhile(
            long expectedGeneration, long actualGeneration, List<ChangedSetting> differences)
            implements ConfigFailure {
        private static final int SHOWN_DIFFERENCES = 20;

        public ChangedMeanwhile {
            differences = List.copyOf(differences);
        }

        @Override
        public String message() {
            String header =
                    "generation "
                            + actualGeneration
                            + " was accepted meanwhile; this change was made on "
                            + expectedGeneration
                            + ": read it, merge, and apply again";
            String footer =
                    differences.size() > SHOWN_DIFFERENCES
                            ? "\n  and " + (differences.size() - SHOWN_DIFFERENCES) + " more"
                            : "";
            return differences.stream()
                            .limit(SHOWN_DIFFERENCES)
                            .map(difference -> "\n  " + difference)
                            .collect(Collectors.joining("", header, ""))
                    + footer;
        }
    }

    /**
     * The answer to the head's update was lost, and it is unknown whether the change was accepted.
     *
     * @param generation the generation that the change becomes if it is accepted
     * @param cause the failure of the last attempt to write the head
     */
    record Unsettled(long generation, PlatformFailure cause) implements ConfigFailure {
        @Override
        public String message() {
            return "generation "
                    + generation
                    + " may have been accepted or not: "
                    + cause
                    + "; look with `config status`";
        }
    }

    /**
     * A chunk of the settings that is too large for one object of the store.
     *
     * @param bytes the chunk's size
     * @param limitBytes the largest size that the store accepts
     */
    record ChunkTooLarge(int bytes, int limitBytes) implements ConfigFailure {
        @Override
        public String message() {
            return "a part of the settings has " + bytes + " bytes: expected at most " + limitBytes;
        }
    }

    /**
     * A data centre that the accepted configuration does not have.
     *
     * @param name the unknown name
     * @param known the names of the data centres that the configuration has
     */
    record UnknownDataCentre(String name, List<String> known) implements ConfigFailure {
        @Override
        public String message() {
            return "data centre \"" + name + "\": expected one of " + known;
        }
    }

    /** No configuration was accepted yet. */
    record NothingAccepted() implements ConfigFailure {
        @Override
        public String message() {
            return "no configuration has been accepted";
        }
    }

    /** No earlier configuration is kept that an undo could restore. */
    record NothingToUndo() implements ConfigFailure {
        @Override
        public String message() {
            return "no earlier configuration is kept";
        }
    }

    /**
     * A call to the platform failed.
     *
     * @param cause the failure of the call
     */
    record Platform(PlatformFailure cause) implements ConfigFailure {
        @Override
        public String message() {
            return "platform: " + cause;
        }
    }

    /**
     * Stored configuration that cannot be read or is inconsistent.
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
