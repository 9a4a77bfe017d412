package io.rhubarbward.request.quarantine;

/**
 * A connection to an engine that was lost under a request.
 *
 * @param engine the engine's name
 * @param sentMillis when the request was sent, in milliseconds since 1970
 * @param lostMillis when the connection was lost, in milliseconds since 1970
 */
public record Crash(String engine, long sentMillis, long lostMillis) {
    /** Copies of one request that were on one engine together were in one crash. */
    boolean sameAs(Crash other) {
        boolean together = sentMillis < other.lostMillis && other.sentMillis < lostMillis;
        return engine.equals(other.engine) && (together || equals(other));
    }
}
