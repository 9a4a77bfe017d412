package io.rhubarbward.placement;

import io.rhubarbward.hash.RendezvousHash;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Power of two choices: the cheaper of two candidates that are drawn by the request's hash.
 *
 * <p>All routers know the same loads, up to about 100 ms late. If each took the least loaded
 * server, all requests of that time would go to one server.
 */
final class TwoChoices {
    private TwoChoices() {}

    /**
     * Returns the cheaper of two different candidates, or the only one.
     *
     * @param candidates not empty
     * @param unitHash the request's hash, from 0 (inclusive) to 1 (exclusive)
     */
    static <T> T choose(List<T> candidates, double unitHash, ToDoubleFunction<T> cost) {
        int count = candidates.size();
        if (count == 1) {
            return candidates.get(0);
        }
        // The hash itself selects the version during a rollout and the requests that a server close
        // to its limit gets, so that among the candidates it may be in a small range only.
        double position = RendezvousHash.rehash(unitHash) * count;
        int first = (int) position;
        int second = (int) ((position - first) * (count - 1));
        if (second >= first) {
            second++;
        }
        T one = candidates.get(first);
        T other = candidates.get(second);
        return cost.applyAsDouble(other) < cost.applyAsDouble(one) ? other : one;
    }
}
