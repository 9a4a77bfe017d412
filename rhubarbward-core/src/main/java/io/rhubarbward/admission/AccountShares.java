package io.rhubarbward.admission;

import java.util.Arrays;
import java.util.Collection;
import java.util.Map;

/**
 * The places that each account may use at a service in want of room: those of a max-min fair
 * division, in which accounts that want less than the others leave them the rest.
 *
 * @param usedByKey places in use over the fleet, by {@link AccountUsage#key}
 * @param level the most places of one account; infinite if no account is limited
 */
record AccountShares(Map<Long, Double> usedByKey, double level) {
    /**
     * Part of the capacity that is divided. With all of it, an account over its even share fills
     * what the others leave to the last place: in six plays of FleetAdmissionLoadTest, 4 to 16 of
     * 2,100 requests that kept within an even share were then refused. With this part, 11 were in
     * 26 plays; 0.9, 0.85 and 0.8 gave 8, 21 and 36 in 30 and served the account less.
     */
    private static final double DIVIDED_PART = 0.95;

    /**
     * Divides the capacity.
     *
     * @param usedByKey places in use over the fleet of all accounts that are known
     * @param wantedByKey the same and what the accounts want beyond them
     */
    static AccountShares of(
            ServiceRoom room, Map<Long, Double> usedByKey, Map<Long, Double> wantedByKey) {
        double level =
                wantedByKey.size() <= 1 || room.capacity() <= 0
                        ? Double.POSITIVE_INFINITY
                        : level(
                                wantedByKey.values(),
                                DIVIDED_PART * capacityOfKnown(room, usedByKey.values()));
        return new AccountShares(usedByKey, level);
    }

    /**
     * Returns the capacity that is left to the known accounts. Others are those with too few places
     * to be reported between routers, all below the level, so that they keep what they use; but if
     * the figures do not fit together, they get no more than their part of what is occupied.
     */
    private static double capacityOfKnown(ServiceRoom room, Collection<Double> used) {
        double known = used.stream().mapToDouble(places -> places).sum();
        if (known >= room.occupied()) {
            return room.capacity();
        }
        double unknown = room.occupied() - known;
        return Math.max(room.capacity() - unknown, room.capacity() * known / room.occupied());
    }

    /** Returns the level at which the sum of min(wanted, level) is the capacity. */
    static double level(Collection<Double> wanted, double capacity) {
        double[] ascending = wanted.stream().mapToDouble(places -> places).sorted().toArray();
        if (Arrays.stream(ascending).sum() <= capacity) {
            return Double.POSITIVE_INFINITY;
        }
        double left = capacity;
        for (int i = 0; i < ascending.length; i++) {
            double evenPart = left / (ascending.length - i);
            if (ascending[i] >= evenPart) {
                return evenPart;
            }
            left -= ascending[i];
        }
        return Double.POSITIVE_INFINITY;
    }

    double used(long key) {
        return usedByKey.getOrDefault(key, 0.0);
    }

    /**
     * Returns whether the account would exceed its share with this many places more. One without
     * any place in use never does: otherwise a request larger than the share would never run.
     */
    boolean exceeded(long key, double places) {
        return used(key) > 0 && used(key) + places > level;
    }
}
