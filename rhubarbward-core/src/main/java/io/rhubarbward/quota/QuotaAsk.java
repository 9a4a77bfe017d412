package io.rhubarbward.quota;

import io.rhubarbward.membership.PeerMessage;
import java.util.List;

/**
 * A holder's word to a custodian: what it has in use, and what more it wants.
 *
 * <p>Each claim states the whole of the holder's units of its key, so that a lost, doubled or late
 * ask does no harm: the newest one is right.
 *
 * @param sequence grows with each ask of the holder, also across its restarts
 * @param answeredQuery the number of the {@link HoldingsQuery} that the ask answers; {@link
 *     #NO_QUERY} if none
 * @param claims one for each key
 */
public record QuotaAsk(long sequence, long answeredQuery, List<Claim> claims)
        implements PeerMessage {
    /** Stands for the number of a query where none is answered. */
    public static final long NO_QUERY = 0;

    public QuotaAsk {
        claims = List.copyOf(claims);
    }

    /**
     * A holder's word on one key.
     *
     * @param key the key's text
     * @param held units in use by running requests
     * @param wanted units wanted in addition; 0 only states what is held
     */
    public record Claim(String key, int held, int wanted) {}
}
