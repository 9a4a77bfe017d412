package io.rhubarbward.quota;

import io.rhubarbward.membership.PeerMessage;
import java.util.List;

/**
 * Message from a holder to a custodian: the units that it holds and those that it requests.
 *
 * <p>Each claim reports all units of its key that the holder has, so that lost, duplicated or late
 * asks do no harm: the one with the highest sequence number is valid.
 *
 * @param sequence increases with each ask of the holder, also across its restarts
 * @param answeredQuery the number of the {@link HoldingsQuery} that the ask answers; {@link
 *     #NO_QUERY} if none
 * @param claims one for each key
 */
public record QuotaAsk(long sequence, long answeredQuery, List<Claim> claims)
        implements PeerMessage {
    /** Value of {@code answeredQuery} if the ask does not answer a query. */
    public static final long NO_QUERY = 0;

    public QuotaAsk {
        claims = List.copyOf(claims);
    }

    /**
     * A holder's report and request for one key.
     *
     * @param key the text of the key
     * @param held units in use by running requests
     * @param wanted units requested in addition; 0 if the claim only reports what is held
     */
    public record Claim(String key, int held, int wanted) {}
}
