package io.rhubarbward.directory;

import io.rhubarbward.hash.RendezvousHash;
import java.util.Comparator;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Splits fleet-wide limits among the routers.
 *
 * <p>Counts every listed router, whether or not it still runs: counting too many only makes the
 * shares smaller. The shares of the listed routers together never exceed the limit, provided that
 * they have the same list. While the n listed routers split the whole limit, a router that is not
 * listed yet uses {@code limit / max(16, n + 1)} in addition.
 */
public final class FleetLimitSplitter {
    /** Lowest count while this router is not listed itself: the size of today's largest fleets. */
    private static final int MIN_COUNT_WHILE_UNLISTED = 16;

    private final String mSelf;
    private final Supplier<Set<String>> mNames;

    /**
     * Splits limits among the named routers.
     *
     * @param self this router's VM name
     * @param names returns the VM names of all listed routers
     */
    public FleetLimitSplitter(String self, Supplier<Set<String>> names) {
        mSelf = self;
        mNames = names;
    }

    /** Returns the number of routers, estimated high while this router is not listed itself. */
    public int routerCount() {
        Set<String> names = mNames.get();
        return names.contains(mSelf)
                ? names.size()
                : Math.max(MIN_COUNT_WHILE_UNLISTED, names.size() + 1);
    }

    /**
     * Returns this router's share of the limit.
     *
     * <p>The shares of all listed routers add up to the limit. A router that is not listed yet gets
     * {@code limit / max(16, n + 1)} in addition to those of the n listed ones.
     *
     * <p>The remainder of the division goes, one unit each, to the first listed routers in the
     * order of a hash of the key and the router's name, which spreads it over the routers.
     */
    public int share(int limit, String key) {
        int count = routerCount();
        int evenShare = limit / count;
        int remainder = limit % count;
        return remainder > 0 && rank(key) < remainder ? evenShare + 1 : evenShare;
    }

    private int rank(String key) {
        Set<String> names = mNames.get();
        if (!names.contains(mSelf)) {
            return Integer.MAX_VALUE;
        }
        return names.stream()
                .sorted(Comparator.comparingLong(name -> RendezvousHash.hash(key + '/' + name)))
                .toList()
                .indexOf(mSelf);
    }
}
