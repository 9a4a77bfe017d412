package io.rhubarbward.quota;

import io.rhubarbward.membership.PeerMessage;
import java.util.List;

/**
 * A custodian's answer to the claims of an ask that wanted units.
 *
 * @param sequence the ask's
 * @param grants one for each key that was wanted
 */
public record QuotaAnswer(long sequence, List<Grant> grants) implements PeerMessage {
    /** Stands for a time to wait where the asked router is not the key's custodian. */
    public static final long NOT_CUSTODIAN = 0;

    public QuotaAnswer {
        grants = List.copyOf(grants);
    }

    /**
     * What a holder gets of one key.
     *
     * @param key the key's text
     * @param granted units in addition to those it stated
     * @param retryAfterMillis when more may be free; {@link #NOT_CUSTODIAN} from another router
     */
    public record Grant(String key, int granted, long retryAfterMillis) {}
}
