package io.rhubarbward.quota;

import io.rhubarbward.membership.PeerMessage;
import java.util.List;

/**
 * Asks every router, on behalf of a new custodian, what it has in use of the keys.
 *
 * <p>The answer is a {@link QuotaAsk} with the query's number. Other asks do not count as answers,
 * since they may have waited for long in a connection while the custodian was paused.
 *
 * @param number grows with each query of the custodian, also across its restarts
 * @param keys the keys' texts
 */
public record HoldingsQuery(long number, List<String> keys) implements PeerMessage {
    public HoldingsQuery {
        keys = List.copyOf(keys);
    }
}
