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
 * The newest word of each rollout that this router has, and what it stopped itself.
 *
 * <p>A word with a lower object version is ignored, whoever offers it, so that a share never goes
 * back to what an older word said. A stop holds until the rollout is over.
 */
public final class RolloutBoard {
    private final EventLog mEvents;
    private final Map<String, RolloutSummary> mWords = new TreeMap<>();
    private final Set<String> mOwnStops = new HashSet<>();
    private final Set<String> mFleetStops = new HashSet<>();
    private boolean mKnown;

    /** Starts without any word. */
    public RolloutBoard(EventLog events) {
        mEvents = events;
    }

    /** Returns whether the platform or a peer has said which rollouts there are. */
    public boolean known() {
        return mKnown;
    }

    /** Notes that all rollouts have been heard of. */
    public void learned() {
        mKnown = true;
    }

    /** Takes the word if it is newer; returns whether it was taken. */
    public boolean offer(RolloutSummary word) {
        RolloutSummary held = mWords.get(word.name());
        if (held != null && held.version() >= word.version()) {
            return false;
        }
        mWords.put(word.name(), word);
        if (word.state().over()) {
            mOwnStops.remove(word.name());
            mFleetStops.remove(word.name());
        }
        mEvents.log(
                LogEvent.MOVE_WORD_TAKEN,
                EventField.of("rollout", word.name()),
                EventField.of("state", word.state()),
                EventField.of("share", word.sharePermille()));
        return true;
    }

    /** Stops the rollout at this router; returns whether that is new. */
    public boolean stopHere(String name) {
        boolean fresh = underWay(name) && mOwnStops.add(name);
        if (fresh) {
            mEvents.log(LogEvent.MOVE_STOPPED_HERE, EventField.of("rollout", name));
        }
        return fresh;
    }

    /** Stops the rollout at every router that hears of it; returns whether that is new. */
    public boolean stopEverywhere(String name) {
        return underWay(name) && mFleetStops.add(name);
    }

    private boolean underWay(String name) {
        return word(name).filter(word -> !word.state().over()).isPresent();
    }

    /** Returns whether the rollout gets no work from this router, whatever its word says. */
    public boolean stopped(String name) {
        return mOwnStops.contains(name) || mFleetStops.contains(name);
    }

    /** Returns the rollouts that every router is to stop. */
    public Set<String> fleetStops() {
        return Set.copyOf(mFleetStops);
    }

    /** Returns the rollouts that are stopped here. */
    public Set<String> stops() {
        Set<String> stops = new HashSet<>(mOwnStops);
        stops.addAll(mFleetStops);
        return stops;
    }

    /** Returns the newest word of the rollout. */
    public Optional<RolloutSummary> word(String name) {
        return Optional.ofNullable(mWords.get(name));
    }

    /** Returns the newest word of every rollout, by name. */
    public Collection<RolloutSummary> words() {
        return List.copyOf(mWords.values());
    }

    /** Returns the rollouts that are under way. */
    public List<RolloutSummary> underWay() {
        return mWords.values().stream().filter(word -> !word.state().over()).toList();
    }

    /** Returns the rollout that decides the service's versions: the one under way, or the last. */
    public Optional<RolloutSummary> deciding(String service) {
        return mWords.values().stream()
                .filter(word -> word.service().equals(service))
                .max(
                        Comparator.<RolloutSummary, Boolean>comparing(word -> !word.state().over())
                                .thenComparing(RolloutSummary::plannedMillis)
                                .thenComparing(RolloutSummary::name));
    }

    /** Returns the new version's share at this router. */
    public int share(RolloutSummary word) {
        return stopped(word.name()) ? 0 : word.state().share(word.sharePermille());
    }

    RolloutDigest digest() {
        Map<String, Long> versions = new TreeMap<>();
        mWords.forEach((name, word) -> versions.put(name, word.version()));
        return new RolloutDigest(mKnown, versions, fleetStops());
    }
}
