package io.rhubarbward.quota;

import io.rhubarbward.membership.PeerMessage;
import java.util.List;

/**
 * Message by which a new custodian asks every router how many units of the keys it holds.
 *
 * <p>A router answers with a {@link QuotaAsk} that carries the query's number. Other asks do not
 * count as answers, because they may be out of date: they can wait in a connection for a long time
 * while the custodian is paused.
 *
 * @param number increases with each query of the custodian, also across its restarts
 * @param keys the texts of the keys
 */
public record HoldingsQuery(long number, List<String> keys) implements PeerMessage {
    public HoldingsQuery {
        keys = List.copyOf(keys);
    }
}
