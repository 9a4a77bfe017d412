package io.rhubarbward.move;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Judges one rollout's new version against the old version's same minutes, on each route and on all
 * routes together: the sum shows sooner what is wrong everywhere.
 *
 * <p>A window closes by age and by the number of calls alone, never by how they ended, so that the
 * evidence keeps its meaning.
 */
final class RolloutJudge {
    private static final String ALL_ROUTES = "";
    private static final long MIN_WINDOW_MILLIS = 5_000;
    private static final long MAX_WINDOW_MILLIS = 30_000;
    private static final int MIN_WINDOW_CALLS = 4;

    private final Function<String, JudgementRule> mRules;
    private final Map<String, RouteEvidence> mRoutes = new TreeMap<>();
    private PairedFigures mUnrecorded = PairedFigures.ZERO;

    RolloutJudge(Function<String, JudgementRule> rules) {
        mRules = rules;
    }

    /** Returns what was counted and is not in the rollout's record yet. */
    PairedFigures unrecorded() {
        return mUnrecorded;
    }

    void recorded(PairedFigures counts) {
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
                                        route.equals(ALL_ROUTES) ? worst(signal) : route));
    }

    private String worst(Signal signal) {
        return mRoutes.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(ALL_ROUTES))
                .max(Comparator.comparingDouble(entry -> entry.getValue().evidence(signal)))
                .map(Map.Entry::getKey)
                .orElse(ALL_ROUTES);
    }

    /**
     * Why the new version is at fault.
     *
     * @param reason what it is worse at
     * @param route where it shows most
     */
    record Verdict(RolloutReason reason, String route) {}

    /** The evidence of one route. */
    private static final class RouteEvidence {
        private final Map<Signal, FaultDetector> mDetectors = new EnumMap<>(Signal.class);
        private PairedFigures mWindow = PairedFigures.ZERO;
        private long mSinceMillis;

        RouteEvidence(long nowMillis) {
            mSinceMillis = nowMillis;
        }

        void count(PairedFigures counts) {
            mWindow = mWindow.plus(counts);
        }

        Optional<Signal> judge(JudgementRule rule, long nowMillis) {
            if (!due(nowMillis - mSinceMillis)) {
                return Optional.empty();
            }
            PairedFigures window = mWindow;
            mWindow = PairedFigures.ZERO;
            mSinceMillis = nowMillis;
            Optional<Signal> fault = Optional.empty();
            for (Signal signal : Signal.values()) {
                if (add(signal, window, rule) && fault.isEmpty()) {
                    fault = Optional.of(signal);
                }
            }
            return fault;
        }

        double evidence(Signal signal) {
            FaultDetector detector = mDetectors.get(signal);
            return detector == null ? 0 : detector.logEvidence();
        }

        private boolean due(long ageMillis) {
            boolean enough =
                    mWindow.oldVersion().calls() >= MIN_WINDOW_CALLS
                            && mWindow.newVersion().calls() >= MIN_WINDOW_CALLS;
            return ageMillis >= (enough ? MIN_WINDOW_MILLIS : MAX_WINDOW_MILLIS);
        }

        private boolean add(Signal signal, PairedFigures window, JudgementRule rule) {
            return mDetectors
                    .computeIfAbsent(signal, s -> new FaultDetector())
                    .add(
                            signal.calls(window.newVersion()),
                            signal.bad(window.newVersion()),
                            signal.calls(window.oldVersion()),
                            signal.bad(window.oldVersion()),
                            signal.acceptedRatio(rule));
        }
    }
}
