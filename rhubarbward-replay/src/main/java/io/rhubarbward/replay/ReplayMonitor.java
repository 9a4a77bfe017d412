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

/**
 * Samples a replay's routers and engines periodically, and checks that configurations come into
 * force in time and that loads stay within the bound.
 */
final class ReplayMonitor {
    private static final Duration SAMPLE_PERIOD = Duration.ofMillis(100);
    private static final long MAX_IN_FORCE_DELAY_MILLIS = 5000;
    private static final int SAMPLES_PER_WINDOW = 10;
    private static final double MIN_MEAN_LOAD = 2.0;

    private final ReplayFleet mFleet;
    private final ReplayBackends mBackends;
    private final TimerService mTimers;
    private final PromiseChecker mPromises;
    private final Measures mMeasures;
    private final double mBoundedLoadMultiple;
    private final Map<String, String> mVersionByEngine;
    private final Map<RouterNode, Long> mGenerationByRouter = new HashMap<>();
    private final Map<String, Integer> mLoadSumByEngine = new HashMap<>();
    private final Map<String, Integer> mSampleCountByEngine = new HashMap<>();
    private long mWindowEndMillis;
    private long mAcceptedGeneration;
    private long mAcceptedAtMillis;
    private boolean mInForceEverywhere = true;

    ReplayMonitor(
            ReplayFleet fleet,
            ReplayBackends backends,
            Settings settings,
            TimerService timers,
            PromiseChecker promises,
            Measures measures) {
        mFleet = fleet;
        mBackends = backends;
        mTimers = timers;
        mPromises = promises;
        mMeasures = measures;
        mBoundedLoadMultiple = settings.routing().boundedLoadMultiple();
        mVersionByEngine =
                settings.backendServers().values().stream()
                        .filter(s -> serviceKind(settings, s.service()) == Service.Kind.ENGINE)
                        .collect(Collectors.toMap(s -> s.name(), s -> s.version()));
    }

    private static Service.Kind serviceKind(Settings settings, String service) {
        return java.util.Objects.requireNonNull(settings.services().get(service)).kind();
    }

    void start() {
        mTimers.every(SAMPLE_PERIOD, this::sample);
    }

    /** Starts to check that the routers reach the accepted generation in time. */
    void onAccepted(long generation) {
        mAcceptedGeneration = generation;
        mAcceptedAtMillis = mTimers.nowMillis();
        mInForceEverywhere = false;
    }

    private void sample() {
        mFleet.routers().forEach(this::checkGenerationNotLower);
        checkAcceptedInForce();
        sampleLoads();
    }

    private void checkGenerationNotLower(RouterNode router) {
        long generation = generation(router);
        long previous = mGenerationByRouter.getOrDefault(router, 0L);
        mGenerationByRouter.put(router, generation);
        mPromises.check(
                Promise.CONFIG_IN_FORCE,
                generation >= previous,
                () -> "went back from " + previous + " to " + generation);
    }

    private void checkAcceptedInForce() {
        long waitedMillis = mTimers.nowMillis() - mAcceptedAtMillis;
        if (mInForceEverywhere || mFleet.routers().isEmpty()) {
            return;
        }
        long behind =
                mFleet.routers().stream().filter(r -> generation(r) < mAcceptedGeneration).count();
        if (behind == 0) {
            mInForceEverywhere = true;
            mMeasures.recordInForceDelay(waitedMillis);
        } else {
            mPromises.check(
                    Promise.CONFIG_IN_FORCE,
                    waitedMillis <= MAX_IN_FORCE_DELAY_MILLIS,
                    () ->
                            behind
                                    + " routers behind "
                                    + mAcceptedGeneration
                                    + " after "
                                    + waitedMillis
                                    + " ms");
        }
    }

    private static long generation(RouterNode router) {
        return router.configuration().map(Configuration::generation).orElse(0L);
    }

    private void sampleLoads() {
        StreamSupport.stream(mBackends.servers().spliterator(), false)
                .filter(server -> mVersionByEngine.containsKey(server.name()))
                .filter(server -> !server.warming() && !mBackends.closedToNewWork(server.name()))
                .forEach(
                        server -> {
                            mLoadSumByEngine.merge(server.name(), server.running(), Integer::sum);
                            mSampleCountByEngine.merge(server.name(), 1, Integer::sum);
                        });
        if (mTimers.nowMillis() >= mWindowEndMillis) {
            mWindowEndMillis = mTimers.nowMillis() + SAMPLES_PER_WINDOW * SAMPLE_PERIOD.toMillis();
            closeWindow();
        }
    }

    private void closeWindow() {
        // A server that took work in a part of the window only has no comparable mean.
        mLoadSumByEngine.keySet().stream()
                .filter(
                        server ->
                                mSampleCountByEngine.getOrDefault(server, 0) >= SAMPLES_PER_WINDOW)
                .collect(
                        Collectors.groupingBy(
                                server -> String.valueOf(mVersionByEngine.get(server))))
                .values()
                .forEach(this::checkLoads);
        mLoadSumByEngine.clear();
        mSampleCountByEngine.clear();
    }

    /** Compares servers of one version, as a rollout loads two versions differently on purpose. */
    private void checkLoads(List<String> servers) {
        IntSummaryStatistics loadSums =
                servers.stream()
                        .mapToInt(server -> mLoadSumByEngine.getOrDefault(server, 0))
                        .summaryStatistics();
        double meanLoad = loadSums.getAverage() / SAMPLES_PER_WINDOW;
        double largestLoad = loadSums.getMax() / SAMPLES_PER_WINDOW;
        if (meanLoad >= MIN_MEAN_LOAD && servers.size() > 1) {
            mMeasures.addLoadSkew(largestLoad / meanLoad);
            // Loads differ in steps of one request: the mean and the limit each get one more.
            mPromises.check(
                    Promise.LOAD_BOUNDED,
                    largestLoad <= mBoundedLoadMultiple * (meanLoad + 1) + 1,
                    () ->
                            "largest load "
                                    + largestLoad
                                    + ", mean "
                                    + meanLoad
                                    + ": "
                                    + mLoadSumByEngine);
        }
    }
}
