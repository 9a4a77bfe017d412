package io.rhubarbward.crash;

import io.rhubarbward.hash.RendezvousHash;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What the fleet has observed about one trait of requests that were lost in crashes.
 *
 * <p>Observations of several routers merge by union, in any order and any number of times.
 *
 * @param trait the trait, see {@link RequestTraits}
 * @param crashes the incarnations of servers that were lost during a request with the trait, each
 *     with the time in Unix milliseconds
 * @param answers a sketch of the requests with the trait that were answered in full since the first
 *     crash: one bit is set for each
 * @param otherAnswers a sketch of the requests without the trait that were answered since then
 *     while none with it was, see {@link CoincidentCrashes}
 */
public record CrashSuspect(long trait, Map<Long, Long> crashes, long answers, long otherAnswers) {
    /** Crashes kept for each trait; more add nothing to the evidence. */
    static final int MAX_CRASHES = 16;

    /**
     * Time within which crashes count as one, unless each counts. A lost data centre or a reset VM
     * ends many connections at once, whatever their requests are.
     */
    private static final long SAME_EVENT_MILLIS = 100;

    private static final int SKETCH_BITS = Long.SIZE;

    /** Bits from which further answers add nothing: they outweigh more crashes than are kept. */
    private static final int MAX_SET_BITS = 36;

    public CrashSuspect {
        crashes = crashes.size() <= MAX_CRASHES ? Map.copyOf(crashes) : newest(crashes);
    }

    /** Creates a suspect without answers of other requests. */
    public CrashSuspect(long trait, Map<Long, Long> crashes, long answers) {
        this(trait, crashes, answers, 0);
    }

    private static Map<Long, Long> newest(Map<Long, Long> crashes) {
        return crashes.entrySet().stream()
                .sorted(
                        Map.Entry.<Long, Long>comparingByValue(Comparator.reverseOrder())
                                .thenComparing(Map.Entry.comparingByKey()))
                .limit(MAX_CRASHES)
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    static CrashSuspect ofCrash(long trait, long server, long epochMillis) {
        return new CrashSuspect(trait, Map.of(server, epochMillis), 0);
    }

    /** Returns the union of both observations of the same trait. */
    CrashSuspect mergedWith(CrashSuspect other) {
        Map<Long, Long> union = new HashMap<>(crashes);
        other.crashes.forEach((server, millis) -> union.merge(server, millis, Math::min));
        return new CrashSuspect(
                trait, union, answers | other.answers, otherAnswers | other.otherAnswers);
    }

    CrashSuspect withAnswer(long requestHash) {
        if (Long.bitCount(answers) >= MAX_SET_BITS) {
            return this;
        }
        return new CrashSuspect(trait, crashes, answers | bit(requestHash), otherAnswers);
    }

    CrashSuspect withOtherAnswer(long requestHash) {
        return new CrashSuspect(trait, crashes, answers, otherAnswers | bit(requestHash));
    }

    private static long bit(long requestHash) {
        return 1L << (requestHash >>> 58);
    }

    /**
     * Limits the crash times to now, as the clock of the router that observed them may be ahead.
     */
    CrashSuspect notAfter(long epochMillis) {
        if (newestCrashMillis() <= epochMillis) {
            return this;
        }
        return new CrashSuspect(
                trait,
                crashes.entrySet().stream()
                        .collect(
                                Collectors.toMap(
                                        Map.Entry::getKey,
                                        crash -> Math.min(crash.getValue(), epochMillis))),
                answers,
                otherAnswers);
    }

    /** Returns a hash of the observations, without the times, which may differ by the clocks. */
    public long digest() {
        return RendezvousHash.hash(
                crashes.keySet().stream()
                        .sorted()
                        .map(String::valueOf)
                        .collect(
                                Collectors.joining(
                                        "/",
                                        trait + "/" + answers + "/",
                                        otherAnswers == 0 ? "" : "/" + otherAnswers)));
    }

    long newestCrashMillis() {
        long newest = 0;
        for (long millis : crashes.values()) {
            newest = Math.max(newest, millis);
        }
        return newest;
    }

    /** Returns the number of separate crashes, without those of the given servers. */
    int separateCrashes(Set<Long> explainedServers) {
        return eachCrashCounts()
                ? (int)
                        crashes.keySet().stream()
                                .filter(server -> !explainedServers.contains(server))
                                .count()
                : separate(crashes, explainedServers);
    }

    /** Returns whether crashes of several servers at the same moment are separate ones. */
    boolean eachCrashCounts() {
        return Long.bitCount(otherAnswers) >= CoincidentCrashes.MIN_OTHER_ANSWERS;
    }

    /** Returns whether one of the crashes was at the same moment. */
    boolean crashedAround(long epochMillis) {
        return crashes.values().stream()
                .anyMatch(millis -> Math.abs(millis - epochMillis) < SAME_EVENT_MILLIS);
    }

    /** Returns whether the same is known of the trait; times may differ by the clocks. */
    boolean sameEvidence(CrashSuspect other) {
        return crashes.keySet().equals(other.crashes.keySet())
                && answers == other.answers
                && otherAnswers == other.otherAnswers;
    }

    /** Returns whether this has evidence against the trait that the other one lacks. */
    public boolean worseThan(CrashSuspect other) {
        return !crashes.keySet().equals(other.crashes.keySet())
                || (eachCrashCounts() && !other.eachCrashCounts());
    }

    /** Counts the crashes that are not within a moment of the one before. */
    static int separate(Map<Long, Long> crashes, Set<Long> explainedServers) {
        long[] times =
                crashes.entrySet().stream()
                        .filter(crash -> !explainedServers.contains(crash.getKey()))
                        .mapToLong(Map.Entry::getValue)
                        .sorted()
                        .toArray();
        int separate = 0;
        long countedMillis = 0;
        for (long millis : times) {
            if (separate == 0 || millis - countedMillis >= SAME_EVENT_MILLIS) {
                separate++;
                countedMillis = millis;
            }
        }
        return separate;
    }

    /** Estimates the number of answered requests from the sketch, by linear counting. */
    int answered() {
        int unset = SKETCH_BITS - Long.bitCount(answers);
        return (int) Math.round(-SKETCH_BITS * Math.log(Math.max(0.5, unset) / SKETCH_BITS));
    }
}
