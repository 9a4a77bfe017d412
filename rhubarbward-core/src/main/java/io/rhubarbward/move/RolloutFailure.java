package io.rhubarbward.move;

import io.rhubarbward.store.PlatformFailure;

/** The reason why a rollout could not be read or changed. */
public sealed interface RolloutFailure {
    /** Returns the failure as a message for operators. */
    String message();

    /**
     * A call to the platform failed.
     *
     * @param cause how the call failed
     */
    record Platform(PlatformFailure cause) implements RolloutFailure {
        @Override
        public String message() {
            return "the platform did not carry it out: " + cause;
        }
    }

    /**
     * Another writer changed the rollout first, so the conditional write failed.
     *
     * @param name the rollout
     * @param state its state after the other change
     */
    record ChangedMeanwhile(String name, RolloutState state) implements RolloutFailure {
        @Override
        public String message() {
            return "rollout \"" + name + "\": another change came first; it is " + state + " now";
        }
    }

    /**
     * The rollout has ended and can no longer be changed.
     *
     * @param name the rollout
     * @param state its final state
     */
    record Over(String name, RolloutState state) implements RolloutFailure {
        @Override
        public String message() {
            return "rollout \"" + name + "\" is over: " + state;
        }
    }

    /**
     * Another rollout of the service is active.
     *
     * @param service the service
     * @param name the name of that other rollout
     */
    record ServiceBusy(String service, String name) implements RolloutFailure {
        @Override
        public String message() {
            return "service \"" + service + "\": rollout \"" + name + "\" is under way";
        }
    }

    /**
     * The stored object cannot be parsed as a rollout.
     *
     * @param detail the object's key and the parser's message
     */
    record Corrupt(String detail) implements RolloutFailure {
        @Override
        public String message() {
            return "not a rollout: " + detail;
        }
    }
}
