package io.rhubarbward.crash;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tells servers that a trait crashed at the same moment from servers that were lost together for
 * another reason, for which the crashes of a moment count as one.
 *
 * <p>Each crash counts if most servers that were lost in these moments had a request with the
 * trait, and for a while afterwards none was answered, although other requests of the same service
 * were. Only routers that lost requests with the trait count these answers: if their own links
 * broke, they receive none.
 */
final class CoincidentCrashes {
    /** Answers without the trait that show that their lack with it is not by chance. */
    static final int MIN_OTHER_ANSWERS = 10;

    private static final int MIN_SERVERS = 5;

    /** Time in which a request with the trait would have been answered, or for a while. */
    private static final Duration MIN_OBSERVATION = Duration.ofSeconds(2);

    private final Map<Long, Loss> mNewestLosses = new HashMap<>();

    private record Loss(String service, long atMillis) {}

    /** Records that this router lost a request with the traits; keeps only those suspected. */
    void recordLoss(Collection<Long> traits, String service, Set<Long> suspected, long nowMillis) {
        mNewestLosses.keySet().retainAll(suspected);
        traits.stream()
                .filter(suspected::contains)
                .forEach(trait -> mNewestLosses.put(trait, new Loss(service, nowMillis)));
    }

    /**
     * Returns the suspects against which the answer to a request without their trait counts.
     *
     * @param traits the traits of the answered request
     */
    List<CrashSuspect> notAnswered(
            Collection<Long> traits,
            String service,
            Collection<CrashSuspect> suspects,
            long nowMillis) {
        return suspects.stream()
                .filter(suspect -> !traits.contains(suspect.trait()))
                .filter(CoincidentCrashes::mayCountEach)
                .filter(suspect -> observed(suspect, service, nowMillis))
                .filter(suspect -> lostMostServers(suspect, suspects))
                .toList();
    }

    private static boolean mayCountEach(CrashSuspect suspect) {
        return suspect.crashes().size() >= MIN_SERVERS
                && suspect.answers() == 0
                && !suspect.eachCrashCounts();
    }

    /** Returns whether this router lost such a request, for the last answer long enough ago. */
    private boolean observed(CrashSuspect suspect, String service, long nowMillis) {
        Loss loss = mNewestLosses.get(suspect.trait());
        return loss != null
                && loss.service().equals(service)
                && (Long.bitCount(suspect.otherAnswers()) < MIN_OTHER_ANSWERS - 1
                        || nowMillis - loss.atMillis() >= MIN_OBSERVATION.toMillis());
    }

    /** Returns whether most servers that were lost when the suspect's were had its trait. */
    private static boolean lostMostServers(
            CrashSuspect suspect, Collection<CrashSuspect> suspects) {
        Set<Long> own = suspect.crashes().keySet();
        long others =
                suspects.stream()
                        .flatMap(other -> other.crashes().entrySet().stream())
                        .filter(crash -> !own.contains(crash.getKey()))
                        .filter(crash -> suspect.crashedAround(crash.getValue()))
                        .map(Map.Entry::getKey)
                        .distinct()
                        .count();
        return own.size() > others;
    }
}
