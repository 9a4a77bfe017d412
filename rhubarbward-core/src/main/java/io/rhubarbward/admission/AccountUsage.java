package io.rhubarbward.admission;

import io.rhubarbward.hash.RendezvousHash;
import io.rhubarbward.timer.TimerService;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
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

    /**
     * Bits of a key that name the service. Without them, the accounts of other routers could not be
     * told apart by service.
     */
    private static final long SERVICE_MASK = 0xffff_0000_0000_0000L;

    private static final Comparator<Map.Entry<Long, Integer>> LARGEST_FIRST =
            Map.Entry.<Long, Integer>comparingByValue(Comparator.reverseOrder())
                    .thenComparing(Map.Entry.comparingByKey());

    private final TimerService mTimers;
    private final Map<String, Map<String, Double>> mOwnPlaces = new HashMap<>();
    private Map<Long, Integer> mOthers = Map.of();
    private long mOthersUpdatedMillis = Long.MIN_VALUE / 2;

    /** Creates counts that are all zero. */
    public AccountUsage(TimerService timers) {
        mTimers = timers;
    }

    /**
     * Returns the key of a service and an account in messages between routers: a hash of both whose
     * upper 16 bits depend on the service alone.
     */
    public static long key(String service, String account) {
        return serviceBits(service)
                | (RendezvousHash.hash(service + '/' + account) & ~SERVICE_MASK);
    }

    private static long serviceBits(String service) {
        return RendezvousHash.hash(service) & SERVICE_MASK;
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

    /** Returns a view of the places of this router's open requests at the service, by account. */
    public Map<String, Double> ownPlaces(String service) {
        return Collections.unmodifiableMap(mOwnPlaces.getOrDefault(service, Map.of()));
    }

    /** Returns the places that the account's open requests take at the service at all routers. */
    public double places(String service, String account) {
        double own = mOwnPlaces.getOrDefault(service, Map.of()).getOrDefault(account, 0.0);
        return own + othersPlaces(key(service, account));
    }

    /**
     * Returns the places that open requests at the service take at all routers, by {@link #key} of
     * the account. Of other routers, the accounts with the most places are known.
     */
    public Map<Long, Double> placesByKey(String service) {
        Map<Long, Double> places = new HashMap<>();
        ownPlaces(service).forEach((account, own) -> places.put(key(service, account), own));
        long serviceBits = serviceBits(service);
        recentOthers()
                .forEach(
                        (key, units) -> {
                            if ((key & SERVICE_MASK) == serviceBits) {
                                places.merge(key, units / UNITS_PER_PLACE, Double::sum);
                            }
                        });
        return places;
    }

    private double othersPlaces(long key) {
        return recentOthers().getOrDefault(key, 0) / UNITS_PER_PLACE;
    }

    private Map<Long, Integer> recentOthers() {
        boolean recent = mTimers.nowMillis() - mOthersUpdatedMillis <= OTHERS_MAX_AGE_MILLIS;
        return recent ? mOthers : Map.of();
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
                    if (!places.isEmpty() && wantsRoom.test(service)) {
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
        if (counts.size() <= maxEntries) {
            return counts;
        }
        // An aggregator has thousands of entries, most of which are below the smallest one kept.
        PriorityQueue<Map.Entry<Long, Integer>> kept =
                new PriorityQueue<>(maxEntries, LARGEST_FIRST.reversed());
        for (Map.Entry<Long, Integer> entry : counts.entrySet()) {
            if (kept.size() < maxEntries) {
                kept.add(entry);
            } else if (LARGEST_FIRST.compare(entry, kept.element()) < 0) {
                kept.remove();
                kept.add(entry);
            }
        }
        return kept.stream().collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
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
