package io.rhubarbward.forward;

import io.rhubarbward.directory.FleetLimitSplitter;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * This router's part of what the fleet may send more than once.
 *
 * <p>In any window, repeats stay under a share of this router's own requests and its part of the
 * fleet's slack, so that the bound holds without any talk between routers.
 */
public final class LocalRetryBudget {
    /** Part of the fleet's bound that is used, since the windows of the judge slide differently. */
    private static final double USED_PART = 0.8;

    private final Bound mBound;
    private final TimerService mTimers;
    private final FleetLimitSplitter mLimitSplitter;
    private final Map<String, Window> mWindows = new HashMap<>();

    /** Keeps the bound together with the other routers. */
    public LocalRetryBudget(Bound bound, TimerService timers, FleetLimitSplitter limitSplitter) {
        mBound = bound;
        mTimers = timers;
        mLimitSplitter = limitSplitter;
    }

    /** Counts a caller's request for the service. */
    void request(String service) {
        window(service).mRequests.addLast(mTimers.nowMillis());
    }

    /** Takes the right to send one request of the service once more; returns whether there is. */
    boolean take(String service) {
        Window window = window(service);
        long now = mTimers.nowMillis();
        window.forget(now - mBound.window().toMillis());
        double allowed =
                USED_PART
                        * (mBound.ratio() * window.mRequests.size()
                                + mBound.slack() / mLimitSplitter.routerCount());
        if (window.mRepeats.size() + 1 > allowed) {
            return false;
        }
        window.mRepeats.addLast(now);
        return true;
    }

    private Window window(String service) {
        return mWindows.computeIfAbsent(service, name -> new Window());
    }

    /**
     * The fleet's bound.
     *
     * @param ratio repeats for each request
     * @param window the time in which both are counted
     * @param slack repeats allowed on top
     */
    public record Bound(double ratio, Duration window, double slack) {}

    private static final class Window {
        private final Deque<Long> mRequests = new ArrayDeque<>();
        private final Deque<Long> mRepeats = new ArrayDeque<>();

        void forget(long beforeMillis) {
            forget(mRequests, beforeMillis);
            forget(mRepeats, beforeMillis);
        }

        private static void forget(Deque<Long> times, long beforeMillis) {
            while (!times.isEmpty() && times.peekFirst() < beforeMillis) {
                times.removeFirst();
            }
        }
    }
}
