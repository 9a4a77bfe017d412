package io.rhubarbward.forward;

import io.rhubarbward.directory.FleetLimitSplitter;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * This router's share of the fleet's retry budget.
 *
 * <p>In any window, retries stay below a ratio of this router's own requests plus its share of the
 * fleet's slack, so that the listed routers keep the fleet's limit without coordination. A router
 * that is not listed yet uses a share in addition, see {@link FleetLimitSplitter}.
 */
public final class LocalRetryBudget {
    /**
     * Share of the fleet's limit that is used: the limit may be checked over windows that begin at
     * other times than these.
     */
    private static final double USED_SHARE = 0.8;

    private final Bound mFleetBound;
    private final TimerService mTimers;
    private final FleetLimitSplitter mLimitSplitter;
    private final Map<String, Window> mWindowsByService = new HashMap<>();

    /** Creates a budget that shares the fleet's limit with the other routers. */
    public LocalRetryBudget(
            Bound fleetBound, TimerService timers, FleetLimitSplitter limitSplitter) {
        mFleetBound = fleetBound;
        mTimers = timers;
        mLimitSplitter = limitSplitter;
    }

    /** Counts a caller's request for the service. */
    void recordRequest(String service) {
        Window window = window(service);
        long now = mTimers.nowMillis();
        window.removeBefore(now - mFleetBound.window().toMillis());
        window.mRequestMillis.addLast(now);
    }

    /** Counts one retry for the service if the budget allows it; returns whether it does. */
    boolean tryAcquire(String service) {
        Window window = window(service);
        long now = mTimers.nowMillis();
        window.removeBefore(now - mFleetBound.window().toMillis());
        double allowedRetries =
                USED_SHARE
                        * (mFleetBound.ratio() * window.mRequestMillis.size()
                                + mFleetBound.slack() / mLimitSplitter.routerCount());
        if (window.mRetryMillis.size() + 1 > allowedRetries) {
            return false;
        }
        window.mRetryMillis.addLast(now);
        return true;
    }

    /** Returns how many times of requests and retries for the service are kept. */
    int timesKept(String service) {
        Window window = window(service);
        return window.mRequestMillis.size() + window.mRetryMillis.size();
    }

    private Window window(String service) {
        return mWindowsByService.computeIfAbsent(service, name -> new Window());
    }

    /**
     * The fleet's limit on the retries of one service.
     *
     * @param ratio allowed retries per request
     * @param window the sliding window in which requests and retries are counted
     * @param slack additional retries allowed in a window
     */
    public record Bound(double ratio, Duration window, double slack) {}

    /** The times of one service's requests and retries in the window. */
    private static final class Window {
        private final Deque<Long> mRequestMillis = new ArrayDeque<>();
        private final Deque<Long> mRetryMillis = new ArrayDeque<>();

        void removeBefore(long startMillis) {
            removeBefore(mRequestMillis, startMillis);
            removeBefore(mRetryMillis, startMillis);
        }

        private static void removeBefore(Deque<Long> times, long startMillis) {
            while (!times.isEmpty() && times.peekFirst() < startMillis) {
                times.removeFirst();
            }
        }
    }
}
