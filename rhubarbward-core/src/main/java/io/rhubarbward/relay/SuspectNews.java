package io.rhubarbward.relay;

import io.rhubarbward.crash.CrashSuspect;
import io.rhubarbward.membership.PeerMessage;
import java.util.List;

/**
 * Tells another router what has been observed about traits of requests that may crash servers.
 *
 * @param suspects what the sender knows of these traits
 */
public record SuspectNews(List<CrashSuspect> suspects) implements PeerMessage {
    public SuspectNews {
        suspects = List.copyOf(suspects);
    }
}
