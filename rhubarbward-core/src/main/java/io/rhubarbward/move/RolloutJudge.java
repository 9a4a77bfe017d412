package io.rhubarbward.move;

import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Runs the canary analysis of one rollout: compares the new version's calls with the old version's
 * calls of the same time windows, on each route and on all routes together. The sum over the routes
 * reveals a fault common to all of them sooner.
 *
 * <p>The end of a window depends only on its age and its number of calls, never on how the calls
 * ended: otherwise the outcomes would bias the evidence.
 */
final class RolloutJudge {
    private static final String ALL_ROUTES = "";
    private static final long MIN_WINDOW_MILLIS = 5_000;
    private static final long MAX_WINDOW_MILLIS = 30_000;
    private static final int MIN_WINDOW_CALLS = 4;

    /**
     * Evidence from which a version is not completed: a good one has it in at most one window of
     * 100 on a route.
     */
    private static final double LOG_DOUBT = Math.log(100);

    private final Function<String, JudgementRule> mRules;
    private final Map<String, RouteEvidence> mRoutes = new TreeMap<>();
    private PairedFigures mUnrecorded = PairedFigures.ZERO;

    RolloutJudge(Function<String, JudgementRule> rules) {
        mRules = rules;
    }

    /** Returns the counts that are not in the rollout's record yet. */
    PairedFigures unrecorded() {
        return mUnrecorded;
    }

    void markRecorded(PairedFigures counts) {
        mUnrecorded = mUnrecorded.minus(counts);
    }

    void count(String route, PairedFigures counts, long nowMillis) {
        mUnrecorded = mUnrecorded.plus(counts);
        evidence(route, nowMillis).count(counts);
        evidence(ALL_ROUTES, nowMillis).count(counts);
    }

    private RouteEvidence evidence(String route, long nowMillis) {
        return mRoutes.computeIfAbsent(route, r -> new RouteEvidence(nowMillis));
    }

    /** Closes the windows that are due and returns the first fault found, if any. */
    Optional<Verdict> judge(long nowMillis) {
        return mRoutes.entrySet().stream()
                .flatMap(entry -> judge(entry.getKey(), entry.getValue(), nowMillis).stream())
                .findFirst();
    }

    private Optional<Verdict> judge(String route, RouteEvidence evidence, long nowMillis) {
        return evidence.judge(mRules.apply(route), nowMillis)
                .map(
                        signal ->
                                new Verdict(
                                        signal.reason(),
                                        route.equals(ALL_ROUTES) ? worstRoute(signal) : route));
    }

    /**
     * Returns the strongest evidence against the new version if it is too strong to move all calls
     * to it, although it may be too weak to call the version faulty.
     */
    Optional<Verdict> doubt() {
        return Arrays.stream(QualitySignal.values())
                .filter(
                        signal ->
                                mRoutes.values().stream()
                                        .anyMatch(route -> route.evidence(signal) >= LOG_DOUBT))
                .findFirst()
                .map(signal -> new Verdict(signal.reason(), worstRoute(signal)));
    }

    private String worstRoute(QualitySignal signal) {
        return mRoutes.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(ALL_ROUTES))
                .max(Comparator.comparingDouble(entry -> entry.getValue().evidence(signal)))
                .map(Map.Entry::getKey)
                .orElse(ALL_ROUTES);
    }

    /**
     * A fault found in the new version.
     *
     * @param reason what the new version is worse at, or that routers have stopped it
     * @param route the route with the strongest evidence; empty if it is not known
     */
    record Verdict(RolloutReason reason, String route) {}

    /** The current window and the fault detectors of one route. */
    private static final class RouteEvidence {
        private final Map<QualitySignal, FaultDetector> mDetectors =
                new EnumMap<>(QualitySignal.class);
        private PairedFigures mWindow = PairedFigures.ZERO;
        private long mWindowStartMillis;

        RouteEvidence(long nowMillis) {
            mWindowStartMillis = nowMillis;
        }

        void count(PairedFigures counts) {
            mWindow = mWindow.plus(counts);
        }

        Optional<QualitySignal> judge(JudgementRule rule, long nowMillis) {
            if (!isWindowDue(nowMillis - mWindowStartMillis)) {
                return Optional.empty();
            }
            PairedFigures window = mWindow;
            mWindow = PairedFigures.ZERO;
            mWindowStartMillis = nowMillis;
            Optional<QualitySignal> fault = Optional.empty();
            for (QualitySignal signal : QualitySignal.values()) {
                if (addWindow(signal, window, rule) && fault.isEmpty()) {
                    fault = Optional.of(signal);
                }
            }
            return fault;
        }

        double evidence(QualitySignal signal) {
            FaultDetector detector = mDetectors.get(signal);
            return detector == null ? 0 : detector.logEvidence();
        }

        private boolean isWindowDue(long ageMillis) {
            boolean hasEnoughCalls =
                    mWindow.oldVersion().calls() >= MIN_WINDOW_CALLS
                            && mWindow.newVersion().calls() >= MIN_WINDOW_CALLS;
            return ageMillis >= (hasEnoughCalls ? MIN_WINDOW_MILLIS : MAX_WINDOW_MILLIS);
        }

        private boolean addWindow(QualitySignal signal, PairedFigures window, JudgementRule rule) {
            return mDetectors
                    .computeIfAbsent(signal, s -> new FaultDetector())
                    .addWindow(
                            signal.calls(window.newVersion()),
                            signal.bad(window.newVersion()),
                            signal.calls(window.oldVersion()),
                            signal.bad(window.oldVersion()),
                            signal.acceptedRatio(rule));
        }
    }
}
