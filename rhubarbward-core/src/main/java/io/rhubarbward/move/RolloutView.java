package io.rhubarbward.move;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * This router's view of the rollouts: the newest summary of each, and which of them are stopped.
 *
 * <p>A summary with a lower object version than the one at hand is ignored, whoever sends it, so
 * that a share never returns to an older value. A stop holds until the rollout has ended.
 */
public final class RolloutView {
    private final EventLog mEvents;
    private final Map<String, RolloutSummary> mSummaries = new TreeMap<>();
    private final Set<String> mLocalStops = new HashSet<>();
    private final Set<String> mFleetStops = new HashSet<>();
    private boolean mLoaded;

    /** Creates an empty view. */
    public RolloutView(EventLog events) {
        mEvents = events;
    }

    /** Returns whether the complete list of rollouts was read from the platform or from a peer. */
    public boolean loaded() {
        return mLoaded;
    }

    /** Marks the list of rollouts as complete. */
    public void markLoaded() {
        mLoaded = true;
    }

    /** Takes the summary if it is newer than the one at hand; returns whether it was taken. */
    public boolean updateIfNewer(RolloutSummary summary) {
        RolloutSummary current = mSummaries.get(summary.name());
        if (current != null && current.version() >= summary.version()) {
            return false;
        }
        mSummaries.put(summary.name(), summary);
        if (summary.state().terminal()) {
            mLocalStops.remove(summary.name());
            mFleetStops.remove(summary.name());
        }
        mEvents.log(
                LogEvent.MOVE_WORD_TAKEN,
                EventField.of("rollout", summary.name()),
                EventField.of("state", summary.state()),
                EventField.of("share", summary.sharePermille()));
        return true;
    }

    /** Stops the rollout at this router; returns whether it was not stopped here before. */
    public boolean stopHere(String name) {
        boolean newlyStopped = isActive(name) && mLocalStops.add(name);
        if (newlyStopped) {
            mEvents.log(LogEvent.MOVE_STOPPED_HERE, EventField.of("rollout", name));
        }
        return newlyStopped;
    }

    /** Stops the rollout fleet-wide: gossip spreads the stop. Returns whether the stop is new. */
    public boolean stopEverywhere(String name) {
        return isActive(name) && mFleetStops.add(name);
    }

    private boolean isActive(String name) {
        return summary(name).filter(summary -> !summary.state().terminal()).isPresent();
    }

    /** Returns whether the rollout is stopped here: this router sends its new version no work. */
    public boolean isStopped(String name) {
        return mLocalStops.contains(name) || mFleetStops.contains(name);
    }

    /** Returns the rollouts that every router is to stop. */
    public Set<String> fleetStops() {
        return Set.copyOf(mFleetStops);
    }

    /** Returns the rollouts that are stopped at this router, by itself or fleet-wide. */
    public Set<String> stoppedRollouts() {
        Set<String> stops = new HashSet<>(mLocalStops);
        stops.addAll(mFleetStops);
        return stops;
    }

    /** Returns the newest summary of the rollout. */
    public Optional<RolloutSummary> summary(String name) {
        return Optional.ofNullable(mSummaries.get(name));
    }

    /** Returns the newest summary of every rollout, by name. */
    public Collection<RolloutSummary> summaries() {
        return List.copyOf(mSummaries.values());
    }

    /** Returns the rollouts that have not ended. */
    public List<RolloutSummary> active() {
        return mSummaries.values().stream().filter(summary -> !summary.state().terminal()).toList();
    }

    /** Returns the rollout that decides the service's versions: the active or else the last one. */
    public Optional<RolloutSummary> currentFor(String service) {
        return mSummaries.values().stream()
                .filter(summary -> summary.service().equals(service))
                .max(
                        Comparator.<RolloutSummary, Boolean>comparing(
                                        summary -> !summary.state().terminal())
                                .thenComparing(RolloutSummary::plannedMillis)
                                .thenComparing(RolloutSummary::name));
    }

    /** Returns the new version's share at this router. */
    public int effectiveSharePermille(RolloutSummary summary) {
        return isStopped(summary.name())
                ? 0
                : summary.state().effectiveSharePermille(summary.sharePermille());
    }

    RolloutDigest digest() {
        Map<String, Long> versions = new TreeMap<>();
        mSummaries.forEach((name, summary) -> versions.put(name, summary.version()));
        return new RolloutDigest(mLoaded, versions, fleetStops());
    }
}
