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
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
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
 * it; {@link BlameRule} tells which trait is to blame.
 */
public final class CrashSuspects {
    /** How long requests with a blamed trait are refused after its last crash. */
    static final Duration BLOCK_TIME = Duration.ofMinutes(10);

    /**
     * How long after its last crash a trait is forgotten. While it is neither blocked nor
     * forgotten, one more crash blocks it again.
     */
    static final Duration MEMORY_TIME = BLOCK_TIME.multipliedBy(2);

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
    private final CoincidentCrashes mCoincident = new CoincidentCrashes();
    private final List<Subscriber> mSubscribers = new ArrayList<>();
    private Set<Long> mBlamed = Set.of();

    /** The suspect with the most evidence that was dropped for want of room. */
    private @Nullable CrashSuspect mStrongestDropped;

    private long mDigest;

    /** Grows whenever there is more evidence against a trait. */
    private int mEvidenceChanges;

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
     * @param service the service of the server
     * @param server identifies the incarnation of the server
     * @param answerMillis how long the answer had been arriving; negative if it had not begun
     */
    public void recordCrash(List<Long> traits, String service, long server, long answerMillis) {
        if (outlivesSuspicion(answerMillis)) {
            return;
        }
        long epochMillis = mTimers.epochMillis();
        List<CrashSuspect> changed =
                merge(
                        traits.stream()
                                .map(trait -> CrashSuspect.ofCrash(trait, server, epochMillis))
                                .toList());
        mCoincident.recordLoss(traits, service, mSuspects.keySet(), mTimers.nowMillis());
        notifySubscribers(changed, true);
    }

    /** Returns whether a request whose answer has been arriving for so long crashes no server. */
    public static boolean outlivesSuspicion(long answerMillis) {
        return answerMillis > MAX_ANSWER_MILLIS;
    }

    /** Records that a request was answered in full, or for longer than those that are suspected. */
    public void recordAnswer(List<Long> traits, String service, String attemptId) {
        long requestHash = RendezvousHash.hash(attemptId);
        notifySubscribers(
                merge(
                        traits.stream()
                                .map(mSuspects::get)
                                .filter(Objects::nonNull)
                                .map(suspect -> suspect.withAnswer(requestHash))
                                .toList()),
                false);
        List<CrashSuspect> notAnswered =
                merge(
                        mCoincident
                                .notAnswered(
                                        traits, service, mSuspects.values(), mTimers.nowMillis())
                                .stream()
                                .map(suspect -> suspect.withOtherAnswer(requestHash))
                                .toList());
        notifySubscribers(
                notAnswered, notAnswered.stream().anyMatch(CrashSuspect::eachCrashCounts));
    }

    private void notifySubscribers(List<CrashSuspect> changed, boolean crashed) {
        if (!changed.isEmpty()) {
            mSubscribers.forEach(subscriber -> subscriber.onChanged(changed, crashed));
        }
    }

    /** Adds observations; returns the suspects that have changed. */
    public List<CrashSuspect> merge(Collection<CrashSuspect> observed) {
        long now = mTimers.epochMillis();
        int changesBefore = mEvidenceChanges;
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
        if (mEvidenceChanges != changesBefore || blamedAnswered) {
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
        boolean changed = known == null || !known.sameEvidence(merged);
        if (changed) {
            if (known != null) {
                remove(known);
            }
            mSuspects.put(merged.trait(), merged);
            mDigest ^= merged.digest();
            if (known == null || merged.worseThan(known)) {
                mEvidenceChanges++;
            }
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
        Set<Long> blamed = new BlameRule(mSuspects.values()).blamed();
        blamed.stream().filter(trait -> !mBlamed.contains(trait)).forEach(this::logBlamed);
        mBlamed = blamed;
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
