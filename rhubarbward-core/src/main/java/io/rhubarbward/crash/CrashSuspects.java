package io.rhubarbward.crash;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.hash.RendezvousHash;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Finds the traits of requests that crash backend servers, and blocks requests that have one.
 *
 * <pre>{@code
 * if (suspects.blockedMillis(traits) == 0) {
 *     send();
 * }
 * }</pre>
 *
 * <p>A crash loses all requests in flight at the server, and most of them have nothing to do with
 * it. A trait is blamed once requests with it were lost in several separate crashes, and hardly any
 * were answered in between. Of the traits that the same crashes point to, the one with the fewest
 * answers is blamed and the others are not: a system prompt that occurs in each lost request also
 * occurs in those that are answered. If parts occur only together, they are blamed only together,
 * until a request with one of them tells more. Where servers crash for other reasons all the while,
 * more crashes are needed.
 */
public final class CrashSuspects {
    /** How long requests with a blamed trait are refused after its last crash. */
    static final Duration BLOCK_TIME = Duration.ofMinutes(10);

    /**
     * How long after its last crash a trait is forgotten. While it is neither blocked nor
     * forgotten, one more crash blocks it again.
     */
    static final Duration MEMORY_TIME = BLOCK_TIME.multipliedBy(2);

    /** Separate crashes from which a trait may be blamed that was lost in all of them. */
    private static final int MIN_CRASHES = 3;

    /**
     * The same if some crashes in the meantime had nothing to do with the trait, or if several
     * traits share the same evidence, most of which do so by chance.
     */
    private static final int MIN_CRASHES_IF_UNCERTAIN = 4;

    /** The same if most crashes in the meantime had nothing to do with the trait. */
    private static final int MIN_CRASHES_AMONG_OTHERS = 5;

    /** Share of the crashes in the meantime below which most have nothing to do with a trait. */
    private static final double MIN_SHARE_OF_CRASHES = 1 / 3.0;

    /** Answers that outweigh one crash. */
    private static final int ANSWERS_PER_CRASH = 3;

    /**
     * Time since an answer began from which its request is not suspected: requests that crash
     * servers do so when their answer begins.
     */
    private static final long MAX_ANSWER_MILLIS = 1000;

    private static final int MAX_SUSPECTS = 256;

    /** Puts the traits first that are dropped first. */
    private static final Comparator<CrashSuspect> BY_EVIDENCE =
            Comparator.<CrashSuspect>comparingInt(suspect -> suspect.crashes().size())
                    .thenComparingLong(CrashSuspect::newestCrashMillis)
                    .thenComparingLong(CrashSuspect::trait);

    private static final Duration FORGET_PERIOD = Duration.ofMinutes(1);

    private final TimerService mTimers;
    private final EventLog mEvents;
    private final Map<Long, CrashSuspect> mSuspects = new HashMap<>();
    private final List<Subscriber> mSubscribers = new ArrayList<>();
    private Set<Long> mBlamed = Set.of();

    /** The suspect with the most evidence that was dropped for want of room. */
    private @Nullable CrashSuspect mStrongestDropped;

    private long mDigest;

    /** Grows with each crash that is recorded for a trait. */
    private int mKnownCrashes;

    /** Creates a registry without suspects. */
    public CrashSuspects(TimerService timers, EventLog events) {
        mTimers = timers;
        mEvents = events;
    }

    /** Receives what this router's own observations change. */
    @FunctionalInterface
    public interface Subscriber {
        /**
         * Called after each change.
         *
         * @param changed the suspects that have changed
         * @param crashed whether by a crash; other changes are less urgent
         */
        void onChanged(List<CrashSuspect> changed, boolean crashed);
    }

    /** Adds a subscriber to the changes. */
    public void subscribe(Subscriber subscriber) {
        mSubscribers.add(subscriber);
    }

    /** Starts to drop what is forgotten as time passes. */
    public void start() {
        mTimers.every(FORGET_PERIOD, () -> forget(mTimers.epochMillis()));
    }

    /** Returns whether no trait is blamed, so that every request may be sent. */
    public boolean blocksNone() {
        return mBlamed.isEmpty();
    }

    /** Returns whether no trait is suspected, so that traits need not be computed. */
    public boolean empty() {
        return mSuspects.isEmpty();
    }

    /**
     * Records that a server was lost during a request.
     *
     * @param server identifies the incarnation of the server
     * @param answerMillis how long the answer had been arriving; negative if it had not begun
     */
    public void recordCrash(List<Long> traits, long server, long answerMillis) {
        if (answerMillis > MAX_ANSWER_MILLIS) {
            return;
        }
        long epochMillis = mTimers.epochMillis();
        notifySubscribers(
                merge(
                        traits.stream()
                                .map(trait -> CrashSuspect.ofCrash(trait, server, epochMillis))
                                .toList()),
                true);
    }

    /** Records that a request was answered in full. */
    public void recordAnswer(List<Long> traits, String attemptId) {
        long requestHash = RendezvousHash.hash(attemptId);
        notifySubscribers(
                merge(
                        traits.stream()
                                .map(mSuspects::get)
                                .filter(Objects::nonNull)
                                .map(suspect -> suspect.withAnswer(requestHash))
                                .toList()),
                false);
    }

    private void notifySubscribers(List<CrashSuspect> changed, boolean crashed) {
        if (!changed.isEmpty()) {
            mSubscribers.forEach(subscriber -> subscriber.onChanged(changed, crashed));
        }
    }

    /** Adds observations; returns the suspects that have changed. */
    public List<CrashSuspect> merge(Collection<CrashSuspect> observed) {
        long now = mTimers.epochMillis();
        int crashesBefore = mKnownCrashes;
        List<Long> changedTraits =
                observed.stream()
                        .map(suspect -> suspect.notAfter(now))
                        .filter(suspect -> !forgotten(suspect, now))
                        .filter(this::put)
                        .map(CrashSuspect::trait)
                        .toList();
        evict();
        // Suspects that were dropped at once are no news: every router would pass them on again.
        List<CrashSuspect> changed =
                changedTraits.stream()
                        .distinct()
                        .map(mSuspects::get)
                        .filter(Objects::nonNull)
                        .toList();
        boolean blamedAnswered =
                changed.stream().anyMatch(suspect -> mBlamed.contains(suspect.trait()));
        // Answers alone never add to the evidence against a trait that is not blamed.
        if (mKnownCrashes != crashesBefore || blamedAnswered) {
            updateBlamed();
        }
        return changed;
    }

    private void forget(long now) {
        List<CrashSuspect> forgotten =
                mSuspects.values().stream().filter(suspect -> forgotten(suspect, now)).toList();
        if (!forgotten.isEmpty()) {
            forgotten.forEach(this::remove);
            mStrongestDropped = null;
            updateBlamed();
        }
    }

    private void remove(CrashSuspect suspect) {
        mSuspects.remove(suspect.trait());
        mDigest ^= suspect.digest();
    }

    private static boolean forgotten(CrashSuspect suspect, long now) {
        return now - suspect.newestCrashMillis() >= MEMORY_TIME.toMillis();
    }

    private boolean put(CrashSuspect observed) {
        CrashSuspect known = mSuspects.get(observed.trait());
        if (known == null && weakerThanDropped(observed)) {
            return false;
        }
        CrashSuspect merged = known == null ? observed : known.mergedWith(observed);
        boolean changed =
                known == null
                        || !known.crashes().keySet().equals(merged.crashes().keySet())
                        || known.answers() != merged.answers();
        if (changed) {
            if (known != null) {
                remove(known);
            }
            mSuspects.put(merged.trait(), merged);
            mDigest ^= merged.digest();
            mKnownCrashes += merged.crashes().size() - (known == null ? 0 : known.crashes().size());
        }
        return changed;
    }

    /** Drops the traits with the least evidence, the same ones at every router. */
    private void evict() {
        if (mSuspects.size() <= MAX_SUSPECTS) {
            return;
        }
        List<CrashSuspect> dropped =
                mSuspects.values().stream()
                        .sorted(BY_EVIDENCE)
                        .limit(mSuspects.size() - MAX_SUSPECTS)
                        .toList();
        dropped.forEach(this::remove);
        CrashSuspect strongest = dropped.get(dropped.size() - 1);
        if (!weakerThanDropped(strongest)) {
            mStrongestDropped = strongest;
        }
    }

    /**
     * Returns whether a suspect with at least this evidence was dropped. One that returns is not
     * kept, even if routers that have not dropped it yet keep telling of it.
     */
    private boolean weakerThanDropped(CrashSuspect suspect) {
        return mStrongestDropped != null && BY_EVIDENCE.compare(suspect, mStrongestDropped) <= 0;
    }

    private void updateBlamed() {
        Set<Long> blamed = new HashSet<>();
        Set<Long> explainedServers = new HashSet<>();
        List<CrashSuspect> strongest = strongest(blamed, explainedServers);
        while (!strongest.isEmpty()) {
            strongest.forEach(suspect -> blamed.add(suspect.trait()));
            strongest.forEach(suspect -> explainedServers.addAll(suspect.crashes().keySet()));
            strongest = strongest(blamed, explainedServers);
        }
        blamed.stream().filter(trait -> !mBlamed.contains(trait)).forEach(this::logBlamed);
        mBlamed = blamed;
    }

    /**
     * Returns the traits with the strongest evidence that suffices to blame them; none if there is
     * no such evidence.
     */
    private List<CrashSuspect> strongest(Set<Long> blamed, Set<Long> explainedServers) {
        Comparator<CrashSuspect> byEvidence =
                Comparator.<CrashSuspect>comparingInt(CrashSuspect::answered)
                        .thenComparing(
                                Comparator.<CrashSuspect>comparingInt(
                                                suspect ->
                                                        suspect.separateCrashes(explainedServers))
                                        .reversed())
                        .thenComparing(
                                Comparator.<CrashSuspect>comparingLong(
                                                suspect ->
                                                        RequestTraits.specificity(suspect.trait()))
                                        .reversed());
        List<CrashSuspect> candidates =
                mSuspects.values().stream()
                        .filter(suspect -> suspect.crashes().size() >= MIN_CRASHES)
                        .filter(suspect -> !blamed.contains(suspect.trait()))
                        .filter(suspect -> hasEnoughCrashes(suspect, explainedServers))
                        .sorted(byEvidence)
                        .toList();
        if (candidates.isEmpty()) {
            return candidates;
        }
        CrashSuspect best = candidates.get(0);
        List<CrashSuspect> tied =
                candidates.stream()
                        .filter(suspect -> byEvidence.compare(suspect, best) == 0)
                        .toList();
        return tied.size() == 1
                        || best.separateCrashes(explainedServers) >= MIN_CRASHES_IF_UNCERTAIN
                ? tied
                : List.of();
    }

    private boolean hasEnoughCrashes(CrashSuspect suspect, Set<Long> explainedServers) {
        int crashes = suspect.separateCrashes(explainedServers);
        double crashesNotOutweighed = crashes - suspect.answered() / (double) ANSWERS_PER_CRASH;
        if (crashesNotOutweighed < MIN_CRASHES) {
            return false;
        }
        int crashesMeanwhile = crashesDuring(suspect, explainedServers);
        int required;
        if (crashes == crashesMeanwhile) {
            required = MIN_CRASHES;
        } else if (crashes >= MIN_SHARE_OF_CRASHES * crashesMeanwhile) {
            required = MIN_CRASHES_IF_UNCERTAIN;
        } else {
            required = MIN_CRASHES_AMONG_OTHERS;
        }
        return crashesNotOutweighed >= required;
    }

    /** Returns the number of separate crashes from the suspect's first one to its newest. */
    private int crashesDuring(CrashSuspect suspect, Set<Long> explainedServers) {
        long first = suspect.crashes().values().stream().mapToLong(Long::longValue).min().orElse(0);
        Map<Long, Long> during =
                mSuspects.values().stream()
                        .flatMap(other -> other.crashes().entrySet().stream())
                        .filter(crash -> crash.getValue() >= first)
                        .filter(crash -> crash.getValue() <= suspect.newestCrashMillis())
                        .collect(
                                Collectors.toMap(
                                        Map.Entry::getKey, Map.Entry::getValue, Math::min));
        return CrashSuspect.separate(during, explainedServers);
    }

    private void logBlamed(long trait) {
        CrashSuspect suspect = Objects.requireNonNull(mSuspects.get(trait));
        mEvents.log(
                LogEvent.REQUEST_TRAIT_BLOCKED,
                EventField.of("trait", Long.toHexString(trait)),
                EventField.of("crashes", suspect.separateCrashes(Set.of())),
                EventField.of(
                        "servers",
                        suspect.crashes().keySet().stream().map(Long::toHexString).toList()),
                EventField.of("answered", suspect.answered()),
                EventField.of(
                        "newestCrashAgeMs", mTimers.epochMillis() - suspect.newestCrashMillis()));
    }

    /**
     * Returns for how long requests with these traits are refused, in milliseconds; 0 if they are
     * not.
     */
    public long blockedMillis(List<Long> traits) {
        long now = mTimers.epochMillis();
        return traits.stream()
                .filter(mBlamed::contains)
                .map(mSuspects::get)
                .filter(Objects::nonNull)
                .mapToLong(suspect -> suspect.newestCrashMillis() + BLOCK_TIME.toMillis() - now)
                .filter(remaining -> remaining > 0)
                .max()
                .orElse(0);
    }

    /** Returns what is known of the trait. */
    public Optional<CrashSuspect> find(long trait) {
        return Optional.ofNullable(mSuspects.get(trait));
    }

    /** Returns all suspects, for a router that lacks some. */
    public List<CrashSuspect> all() {
        return List.copyOf(mSuspects.values());
    }

    /** Returns a hash of all suspects, by which routers notice that they differ; 0 without any. */
    public long digest() {
        return mDigest;
    }
}
