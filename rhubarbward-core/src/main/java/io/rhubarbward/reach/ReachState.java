package io.rhubarbward.reach;

/** What a router knows of its own way to the backend servers. */
public enum ReachState {
    /** Servers are reached, or there is no sign of the contrary. */
    CONNECTED,
    /** Several calls failed in a way that lost links would explain; servers are being probed. */
    SUSPECTED,
    /** New connections to servers of all services and data centres fail. */
    CUT_OFF;

    /** Returns whether failures of calls may be due to this router's own links. */
    public boolean doubtful() {
        return this != CONNECTED;
    }
}
