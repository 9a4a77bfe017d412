package io.rhubarbward.replay;

import io.rhubarbward.config.Configuration;
import io.rhubarbward.config.Service;
import io.rhubarbward.config.Settings;
import io.rhubarbward.node.RouterNode;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.HashMap;
import java.util.IntSummaryStatistics;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

/** Looks at a replay's routers and servers at fixed times and checks what must hold at each. */
final class ReplayWatch {
    private static final Duration PERIOD = Duration.ofMillis(100);
    private static final long IN_FORCE_MILLIS = 5000;
    private static final int LOOKS_IN_WINDOW = 10;
    private static final double LEAST_MEAN_LOAD = 2.0;

    private final ReplayFleet mFleet;
    private final ReplayBackends mBackends;
    private final TimerService mTimers;
    private final PromiseLog mPromises;
    private final Measures mMeasures;
    private final double mBound;
    private final Map<String, String> mVersions;
    private final Map<RouterNode, Long> mGenerations = new HashMap<>();
    private final Map<String, Integer> mWindow = new HashMap<>();
    private final Map<String, Integer> mLooks = new HashMap<>();
    private long mWindowEnd;
    private long mAccepted;
    private long mAcceptedAtMillis;
    private boolean mSettled = true;

    ReplayWatch(
            ReplayFleet fleet,
            ReplayBackends backends,
            Settings settings,
            TimerService timers,
            PromiseLog promises,
            Measures measures) {
        mFleet = fleet;
        mBackends = backends;
        mTimers = timers;
        mPromises = promises;
        mMeasures = measures;
        mBound = settings.routing().boundedLoadMultiple();
        mVersions =
                settings.backendServers().values().stream()
                        .filter(s -> kind(settings, s.service()) == Service.Kind.ENGINE)
                        .collect(Collectors.toMap(s -> s.name(), s -> s.version()));
    }

    private static Service.Kind kind(Settings settings, String service) {
        return java.util.Objects.requireNonNull(settings.services().get(service)).kind();
    }

    void start() {
        mTimers.every(PERIOD, this::look);
    }

    /** A change was accepted as the generation. */
    void accepted(long generation) {
        mAccepted = generation;
        mAcceptedAtMillis = mTimers.nowMillis();
        mSettled = false;
    }

    private void look() {
        mFleet.routers().forEach(this::lookAtGeneration);
        lookAtAcceptance();
        lookAtLoad();
    }

    private void lookAtGeneration(RouterNode router) {
        long generation = generation(router);
        long before = mGenerations.getOrDefault(router, 0L);
        mGenerations.put(router, generation);
        mPromises.check(
                Promise.CONFIG_IN_FORCE,
                generation >= before,
                () -> "went back from " + before + " to " + generation);
    }

    private void lookAtAcceptance() {
        long waited = mTimers.nowMillis() - mAcceptedAtMillis;
        if (mSettled || mFleet.routers().isEmpty()) {
            return;
        }
        long behind = mFleet.routers().stream().filter(r -> generation(r) < mAccepted).count();
        if (behind == 0) {
            mSettled = true;
            mMeasures.inForceAfter(waited);
        } else {
            mPromises.check(
                    Promise.CONFIG_IN_FORCE,
                    waited <= IN_FORCE_MILLIS,
                    () -> behind + " routers behind " + mAccepted + " after " + waited + " ms");
        }
    }

    private static long generation(RouterNode router) {
        return router.configuration().map(Configuration::generation).orElse(0L);
    }

    private void lookAtLoad() {
        StreamSupport.stream(mBackends.servers().spliterator(), false)
                .filter(server -> mVersions.containsKey(server.name()))
                .filter(server -> !server.warming() && !mBackends.closed(server.name()))
                .forEach(
                        server -> {
                            mWindow.merge(server.name(), server.running(), Integer::sum);
                            mLooks.merge(server.name(), 1, Integer::sum);
                        });
        if (mTimers.nowMillis() >= mWindowEnd) {
            mWindowEnd = mTimers.nowMillis() + LOOKS_IN_WINDOW * PERIOD.toMillis();
            closeWindow();
        }
    }

    private void closeWindow() {
        // A server that was open for a part of the window only has no mean over it.
        mWindow.keySet().stream()
                .filter(server -> mLooks.getOrDefault(server, 0) >= LOOKS_IN_WINDOW)
                .collect(Collectors.groupingBy(server -> String.valueOf(mVersions.get(server))))
                .values()
                .forEach(this::checkLoads);
        mWindow.clear();
        mLooks.clear();
    }

    /** Compares servers of one version: a rollout loads two versions differently on purpose. */
    private void checkLoads(List<String> servers) {
        IntSummaryStatistics sums =
                servers.stream()
                        .mapToInt(server -> mWindow.getOrDefault(server, 0))
                        .summaryStatistics();
        double mean = sums.getAverage() / LOOKS_IN_WINDOW;
        double largest = sums.getMax() / LOOKS_IN_WINDOW;
        if (mean >= LEAST_MEAN_LOAD && servers.size() > 1) {
            mMeasures.skew(largest / mean);
            // One request is the least step by which an engine's load can differ.
            mPromises.check(
                    Promise.LOAD_BOUNDED,
                    largest <= mBound * (mean + 1) + 1,
                    () -> "largest load " + largest + ", mean " + mean + ": " + mWindow);
        }
    }
}
