package io.rhubarbward.store.memory;

/**
 * The faults to inject into an in-memory platform.
 *
 * @param down whether every call fails
 * @param delayMillis delay of each answer
 * @param loseAnswers number of next writes that take effect but whose answer is lost
 * @param loseRequests number of next writes that are lost before they take effect
 * @param vmListLagMillis age of the VM list when it is read
 */
public record PlatformFaults(
        boolean down, int delayMillis, int loseAnswers, int loseRequests, int vmListLagMillis) {
    /** No faults. */
    public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0, 0, 0);

    public PlatformFaults {
        if (delayMillis < 0 || loseAnswers < 0 || loseRequests < 0 || vmListLagMillis < 0) {
            throw new IllegalArgumentException(
                    "platform faults: negative delay, count or lag; expected 0 or more");
        }
    }

    /** Returns a copy with the platform down or up. */
    public PlatformFaults withDown(boolean down) {
        return new PlatformFaults(down, delayMillis, loseAnswers, loseRequests, vmListLagMillis);
    }

    /** Returns a copy with the number of next writes whose answer is lost. */
    public PlatformFaults withLoseAnswers(int loseAnswers) {
        return new PlatformFaults(down, delayMillis, loseAnswers, loseRequests, vmListLagMillis);
    }

    /** Returns a copy with the number of next writes that are lost before they take effect. */
    public PlatformFaults withLoseRequests(int loseRequests) {
        return new PlatformFaults(down, delayMillis, loseAnswers, loseRequests, vmListLagMillis);
    }

    /** Returns a copy with the delay of each answer. */
    public PlatformFaults withDelayMillis(int delayMillis) {
        return new PlatformFaults(down, delayMillis, loseAnswers, loseRequests, vmListLagMillis);
    }

    /** Returns a copy with the age of the VM list. */
    public PlatformFaults withVmListLagMillis(int vmListLagMillis) {
        return new PlatformFaults(down, delayMillis, loseAnswers, loseRequests, vmListLagMillis);
    }
}
