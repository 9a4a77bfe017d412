package io.rhubarbward.directory;

import io.rhubarbward.config.BackendServer;
import java.time.Duration;

/**
 * A backend server as it lists itself in the store.
 *
 * @param server its id, service, data centre, address and version
 * @param slots requests that it runs at once
 * @param draining whether it is about to leave and wants no new work
 * @param coldRemaining how much longer it stays cold, as of the entry
 * @param bornMillis when this life of it began, in Unix milliseconds; 0 if it does not say
 */
public record ListedServer(
        BackendServer server,
        int slots,
        boolean draining,
        Duration coldRemaining,
        long bornMillis) {
    /** Returns its id. */
    public String id() {
        return server.name();
    }

    /** Returns whether the other entry is of the same life of the same server. */
    boolean sameLife(ListedServer other) {
        return bornMillis == other.bornMillis
                && server.address().equals(other.server().address())
                && server.service().equals(other.server().service());
    }

    /** Returns whether the entry is of an earlier life than the other, as far as both say. */
    boolean bornBefore(ListedServer other) {
        return bornMillis > 0 && bornMillis < other.bornMillis;
    }
}
