package io.rhubarbward.membership;

/** Told of changes among the routers; every method does nothing by default. */
public interface MembershipListener {
    /** Called after routers came, went or changed their status. */
    default void onMembersChanged() {}

    /** Called when a router's process has started anew, so that all it held is gone. */
    default void onRestarted(String vm) {}

    /** Called when this process finds that it was paused, before it handles anything else. */
    default void onAwake() {}
}
