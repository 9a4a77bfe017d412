package io.rhubarbward.request.quarantine;

import java.util.List;

/**
 * The state of one suspect request, as a router announces it to its peers.
 *
 * @param fingerprint identifies the request
 * @param crashes the crashes during the request; empty if it is not suspect any more
 * @param onTrialAtSender whether the sender is running the request now, so that no other router may
 */
public record SuspectNotice(String fingerprint, List<Crash> crashes, boolean onTrialAtSender) {
    public SuspectNotice {
        crashes = List.copyOf(crashes);
    }

    /** Returns whether the request is not suspect any more. */
    boolean cleared() {
        return crashes.isEmpty();
    }
}
