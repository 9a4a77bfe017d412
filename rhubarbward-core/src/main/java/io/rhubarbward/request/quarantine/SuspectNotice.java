package io.rhubarbward.request.quarantine;

import java.util.List;

/**
 * What a router says of one suspect request.
 *
 * @param fingerprint which request
 * @param crashes the crashes it was in; none when it was answered whole and is cleared
 * @param trial whether the sender is running it now, so that nobody else may
 */
public record SuspectNotice(String fingerprint, List<Crash> crashes, boolean trial) {
    public SuspectNotice {
        crashes = List.copyOf(crashes);
    }

    /** Returns whether the request is no suspect any more. */
    boolean cleared() {
        return crashes.isEmpty();
    }
}
