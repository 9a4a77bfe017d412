package io.rhubarbward.membership;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.store.Vm;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * The other routers of the site and their statuses, from the VM list and from their messages.
 *
 * <p>Its size is bounded by the VM list and {@link #MAX_UNLISTED} routers that introduced
 * themselves before the list showed them. Members that are dead and not listed are removed.
 */
final class MemberTable {
    private static final int MAX_UNLISTED = 64;
    private static final int SUSPECT_AFTER_PERIODS = 2;
    private static final int DEAD_AFTER_PERIODS = 4;

    private final String mOwnVm;
    private final long mSuspectAfterMillis;
    private final long mDeadAfterMillis;
    private final EventLog mEvents;
    private final Map<String, Member> mMembers = new TreeMap<>();

    MemberTable(String ownVm, Duration heartbeatPeriod, EventLog events) {
        mOwnVm = ownVm;
        mSuspectAfterMillis = heartbeatPeriod.toMillis() * SUSPECT_AFTER_PERIODS;
        mDeadAfterMillis = heartbeatPeriod.toMillis() * DEAD_AFTER_PERIODS;
        mEvents = events;
    }

    Collection<Member> members() {
        return mMembers.values();
    }

    Optional<Member> member(String vm) {
        return Optional.ofNullable(mMembers.get(vm));
    }

    /** Adds, updates and marks the members by the VM list that was read. */
    void updateFromVmList(List<Vm> vms, long nowMillis) {
        mMembers.values().forEach(Member::markUnlisted);
        vms.stream()
                .filter(vm -> vm.role() == Vm.Role.ROUTER && !vm.name().equals(mOwnVm))
                .forEach(vm -> markListed(vm, nowMillis));
        mMembers.values().removeIf(Member::removable);
    }

    private void markListed(Vm vm, long nowMillis) {
        Peer peer = new Peer(vm.name(), vm.dataCentre(), vm.address());
        mMembers.computeIfAbsent(vm.name(), name -> new Member(peer, nowMillis))
                .markListed(peer, vm.state() == Vm.State.LEAVING);
    }

    /** Adds a router that introduced itself, unless too many unlisted ones are known. */
    void addIntroduced(Peer peer, long nowMillis) {
        long unlisted = mMembers.values().stream().filter(member -> !member.listed()).count();
        if (unlisted < MAX_UNLISTED) {
            mMembers.computeIfAbsent(peer.vm(), name -> new Member(peer, nowMillis));
        }
    }

    /** Records a message of the member itself; returns whether its process has restarted. */
    boolean recordHeard(String vm, long incarnation, long nowMillis) {
        boolean[] restarted = new boolean[1];
        update(vm, member -> restarted[0] = member.recordHeard(incarnation, nowMillis));
        if (restarted[0]) {
            mEvents.log(LogEvent.MEMBER_RESTARTED, EventField.of("vm", vm));
        }
        return restarted[0];
    }

    /** Records another router's report that a member ran at the time, unless it is too old. */
    void recordEvidence(String vm, long atMillis, long nowMillis) {
        if (nowMillis - atMillis < mSuspectAfterMillis) {
            update(vm, member -> member.recordEvidence(atMillis, nowMillis));
        }
    }

    /** Updates every member's status from the time since it was last known to run. */
    void updateStatuses(long nowMillis) {
        List.copyOf(mMembers.keySet())
                .forEach(
                        vm ->
                                update(
                                        vm,
                                        member ->
                                                member.updateStatus(
                                                        nowMillis,
                                                        mSuspectAfterMillis,
                                                        mDeadAfterMillis)));
        mMembers.values().removeIf(Member::removable);
    }

    /** Resets every member's time without heartbeat to zero. */
    void restartSilenceTimers(long nowMillis) {
        mMembers.values().forEach(member -> member.restartSilenceTimer(nowMillis));
    }

    /**
     * Returns, for each member that may be running, whether it may own keys.
     *
     * <p>While the view is equal, every key has the same owners among the members.
     */
    Map<String, Boolean> ownershipView() {
        return mMembers.entrySet().stream()
                .filter(entry -> entry.getValue().status().mayBeRunning())
                .collect(
                        Collectors.toMap(
                                Map.Entry::getKey, entry -> entry.getValue().mayOwnKeys()));
    }

    private void update(String vm, Consumer<Member> update) {
        member(vm)
                .ifPresent(
                        member -> {
                            MemberStatus before = member.status();
                            update.accept(member);
                            logIfOwnershipChanged(vm, before, member.status());
                        });
    }

    /**
     * Logs a change of whether the member may own keys or may be running.
     *
     * <p>Changes between LIVE and SUSPECT alone have no effect on ownership and can follow each
     * lost heartbeat, so they are not logged.
     */
    private void logIfOwnershipChanged(String vm, MemberStatus before, MemberStatus after) {
        if (before.mayOwnKeys() != after.mayOwnKeys()
                || before.mayBeRunning() != after.mayBeRunning()) {
            mEvents.log(
                    LogEvent.MEMBER_STATUS_CHANGED,
                    EventField.of("vm", vm),
                    EventField.of("from", before),
                    EventField.of("to", after));
        }
    }
}
