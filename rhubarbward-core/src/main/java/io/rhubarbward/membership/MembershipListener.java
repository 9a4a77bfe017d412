package io.rhubarbward.membership;

/** Receives changes of the routers' membership; every method does nothing by default. */
public interface MembershipListener {
    /** Called after a change of the VM list, or of the routers that may run or may own keys. */
    default void onMembersChanged() {}

    /** Called when a router's process has restarted and so has lost its in-memory state. */
    default void onRestarted(String vm) {}

    /**
     * Called when this process detects that it was paused, before it handles the message, request
     * or timer at which it detected this.
     */
    default void onPauseDetected() {}
}
