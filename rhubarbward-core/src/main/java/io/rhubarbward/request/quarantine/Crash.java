package io.rhubarbward.request.quarantine;

/**
 * A probable engine crash: the connection to an engine was lost while a request was in flight.
 *
 * @param engine the engine's name
 * @param sentMillis when the request was sent, in Unix milliseconds
 * @param lostMillis when the connection was lost, in Unix milliseconds
 */
public record Crash(String engine, long sentMillis, long lostMillis) {
    /**
     * Returns whether both are one crash. Copies of a request that were in flight at one engine at
     * the same time were lost in the same crash.
     */
    boolean sameCrashAs(Crash other) {
        boolean overlaps = sentMillis < other.lostMillis && other.sentMillis < lostMillis;
        return engine.equals(other.engine) && (overlaps || equals(other));
    }
}
