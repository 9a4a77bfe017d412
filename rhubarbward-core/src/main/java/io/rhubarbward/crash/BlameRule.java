package io.rhubarbward.crash;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Decides which traits are to blame for the crashes of servers.
 *
 * <p>A crash loses all requests in flight at the server, and most of them have nothing to do with
 * it. A trait is blamed once requests with it were lost in several separate crashes, and hardly any
 * were answered in between. Of the traits that the same crashes point to, the one with the fewest
 * answers is blamed and the others are not: a system prompt that occurs in each lost request also
 * occurs in those that are answered. If parts occur only together, they are blamed only together,
 * until a request with one of them tells more. Where servers crash for other reasons all the while,
 * more crashes are needed.
 */
final class BlameRule {
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

    private final Collection<CrashSuspect> mSuspects;

    BlameRule(Collection<CrashSuspect> suspects) {
        mSuspects = suspects;
    }

    /** Returns the traits to blame. */
    Set<Long> blamed() {
        Set<Long> blamed = new HashSet<>();
        Set<Long> explainedServers = new HashSet<>();
        List<CrashSuspect> strongest = strongest(blamed, explainedServers);
        while (!strongest.isEmpty()) {
            strongest.forEach(suspect -> blamed.add(suspect.trait()));
            strongest.forEach(suspect -> explainedServers.addAll(suspect.crashes().keySet()));
            strongest = strongest(blamed, explainedServers);
        }
        return blamed;
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
                mSuspects.stream()
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

    /**
     * Returns the number of separate crashes from the suspect's first one to its newest. Those of
     * other traits count once a moment, also where each of the suspect's counts.
     */
    private int crashesDuring(CrashSuspect suspect, Set<Long> explainedServers) {
        long first = suspect.crashes().values().stream().mapToLong(Long::longValue).min().orElse(0);
        Map<Long, Long> during =
                mSuspects.stream()
                        .flatMap(other -> other.crashes().entrySet().stream())
                        .filter(crash -> crash.getValue() >= first)
                        .filter(crash -> crash.getValue() <= suspect.newestCrashMillis())
                        .collect(
                                Collectors.toMap(
                                        Map.Entry::getKey, Map.Entry::getValue, Math::min));
        if (!suspect.eachCrashCounts()) {
            return CrashSuspect.separate(during, explainedServers);
        }
        during.keySet().removeAll(suspect.crashes().keySet());
        return suspect.separateCrashes(explainedServers)
                + CrashSuspect.separate(during, explainedServers);
    }
}
