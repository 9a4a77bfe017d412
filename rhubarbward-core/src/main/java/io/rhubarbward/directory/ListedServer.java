package io.rhubarbward.directory;

import io.rhubarbward.config.BackendServer;
import java.time.Duration;

/**
 * The entry that a backend server writes of itself in the store.
 *
 * @param server the server's id, service, data centre, address and version
 * @param slots how many requests it runs concurrently
 * @param draining whether it is shutting down and must get no new requests
 * @param coldRemaining how much longer it stays cold (slow after its start), counted from the write
 *     of the entry
 * @param writes how often this incarnation had written its entry; 0 if the entry does not state it
 * @param startedAtMillis start of this incarnation of the server in Unix milliseconds; 0 if the
 *     entry does not state it
 */
public record ListedServer(
        BackendServer server,
        int slots,
        boolean draining,
        Duration coldRemaining,
        long writes,
        long startedAtMillis) {
    /** Returns the server's id. */
    public String id() {
        return server.name();
    }

    /** Returns whether both entries have the same start, address and service. */
    boolean isSameIncarnation(ListedServer other) {
        return startedAtMillis == other.startedAtMillis
                && server.address().equals(other.server().address())
                && server.service().equals(other.server().service());
    }

    /** Returns whether this entry states an earlier start than the other. */
    boolean startedBefore(ListedServer other) {
        return startedAtMillis > 0 && startedAtMillis < other.startedAtMillis;
    }

    /** Returns whether the same incarnation of the server wrote this entry earlier. */
    boolean writtenBefore(ListedServer other) {
        return countsWritesWith(other) && writes < other.writes;
    }

    /** Returns whether this entry is the other one or an earlier one of the server. */
    boolean isNoLaterThan(ListedServer other) {
        return startedBefore(other) || (countsWritesWith(other) && writes <= other.writes);
    }

    private boolean countsWritesWith(ListedServer other) {
        return startedAtMillis > 0 && startedAtMillis == other.startedAtMillis && writes > 0;
    }
}
