package io.rhubarbward.quota;

import io.rhubarbward.membership.PeerMessage;
import java.util.List;

/**
 * A custodian's answer to those claims of a {@link QuotaAsk} that request units.
 *
 * @param sequence the sequence number of the ask
 * @param grants one for each answered claim
 */
public record QuotaAnswer(long sequence, List<Grant> grants) implements PeerMessage {
    /** Value of {@code retryAfterMillis} if the asked router is not the key's custodian. */
    public static final long NOT_CUSTODIAN = 0;

    public QuotaAnswer {
        grants = List.copyOf(grants);
    }

    /**
     * The decision on one claim.
     *
     * @param key the text of the key
     * @param granted units granted in addition to those that the holder reported
     * @param retryAfterMillis how long to wait until more units may be free; {@link #NOT_CUSTODIAN}
     *     if the sender is not the key's custodian
     */
    public record Grant(String key, int granted, long retryAfterMillis) {}
}
