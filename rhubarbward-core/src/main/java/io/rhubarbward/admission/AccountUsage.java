package io.rhubarbward.admission;

import io.rhubarbward.hash.RendezvousHash;
import io.rhubarbward.timer.TimerService;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Counts the places that the open requests of each client account take at each service: those of
 * this router exactly, those of all others as they were last announced.
 *
 * <pre>{@code
 * usage.add("assistant", "acme", 1.5);
 * double places = usage.places("assistant", "acme");
 * usage.remove("assistant", "acme", 1.5);
 * }</pre>
 *
 * <p>All calls are made on the timer service's thread.
 */
public final class AccountUsage {
    /** Entries of one router's report: more accounts than can crowd out others at one router. */
    static final int MAX_REPORTED = 64;

    /** Age above which the counts of other routers are ignored. */
    private static final long OTHERS_MAX_AGE_MILLIS = 1500;

    /** Counts between routers are in tenths of a place. */
    private static final double UNITS_PER_PLACE = 10;

    /** Below it, a count is only what rounding leaves of places that were added and removed. */
    private static final double MIN_PLACES = 1e-6;

    private final TimerService mTimers;
    private final Map<String, Map<String, Double>> mOwnPlaces = new HashMap<>();
    private Map<Long, Integer> mOthers = Map.of();
    private long mOthersUpdatedMillis = Long.MIN_VALUE / 2;

    /** Creates counts that are all zero. */
    public AccountUsage(TimerService timers) {
        mTimers = timers;
    }

    /** Returns the key of a service and an account in messages between routers. */
    public static long key(String service, String account) {
        return RendezvousHash.hash(service + '/' + account);
    }

    /** Counts an open request of the account; the account is empty for requests without one. */
    public void add(String service, String account, double places) {
        mOwnPlaces
                .computeIfAbsent(service, name -> new HashMap<>())
                .merge(account, places, Double::sum);
    }

    /** Removes a request that was counted. */
    public void remove(String service, String account, double places) {
        mOwnPlaces
                .getOrDefault(service, new HashMap<>())
                .computeIfPresent(
                        account, (name, sum) -> sum - places < MIN_PLACES ? null : sum - places);
    }

    /** Returns the places of this router's open requests at the service, by account. */
    public Map<String, Double> ownPlaces(String service) {
        return Map.copyOf(mOwnPlaces.getOrDefault(service, Map.of()));
    }

    /** Returns the places that the account's open requests take at the service at all routers. */
    public double places(String service, String account) {
        double own = mOwnPlaces.getOrDefault(service, Map.of()).getOrDefault(account, 0.0);
        return own + othersPlaces(key(service, account));
    }

    private double othersPlaces(long key) {
        boolean recent = mTimers.nowMillis() - mOthersUpdatedMillis <= OTHERS_MAX_AGE_MILLIS;
        return recent ? mOthers.getOrDefault(key, 0) / UNITS_PER_PLACE : 0;
    }

    /**
     * Returns the counts that other routers need, by {@link #key}: the largest ones of the services
     * that want room, in tenths of a place.
     *
     * @param wantsRoom whether the named service is short of room
     */
    public Map<Long, Integer> reported(Predicate<String> wantsRoom) {
        Map<Long, Integer> counts = new HashMap<>();
        mOwnPlaces.forEach(
                (service, places) -> {
                    if (wantsRoom.test(service)) {
                        places.forEach(
                                (account, own) -> counts.put(key(service, account), inUnits(own)));
                    }
                });
        return largest(counts, MAX_REPORTED);
    }

    private static int inUnits(double places) {
        return (int) Math.round(places * UNITS_PER_PLACE);
    }

    /** Returns the largest entries of the counts. */
    public static Map<Long, Integer> largest(Map<Long, Integer> counts, int maxEntries) {
        return counts.size() <= maxEntries
                ? counts
                : counts.entrySet().stream()
                        .sorted(
                                Map.Entry.<Long, Integer>comparingByValue(Comparator.reverseOrder())
                                        .thenComparing(Map.Entry.comparingByKey()))
                        .limit(maxEntries)
                        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    /**
     * Updates the counts of all other routers together.
     *
     * @param counts tenths of a place by {@link #key}
     */
    public void updateFromOthers(Map<Long, Integer> counts) {
        mOthers = Map.copyOf(counts);
        mOthersUpdatedMillis = mTimers.nowMillis();
    }
}
