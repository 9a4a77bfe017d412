package io.rhubarbward.move;

import io.rhubarbward.engine.BackendRegistry;
import io.rhubarbward.engine.BackendState;
import io.rhubarbward.request.CallObserver;
import io.rhubarbward.request.CallOutcome;
import io.rhubarbward.timer.TimerService;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Counts this router's calls by rollout, version and route, and detects evident faults at once.
 *
 * <p>Latencies of cold servers are not counted, because all of a new version's servers are cold at
 * first.
 */
public final class VersionCallCounter implements CallObserver {
    private static final int MIN_FAILURES_TO_STOP = 4;
    private static final double LOG_STOP_THRESHOLD = Math.log(10_000);

    private final RolloutView mView;
    private final BackendRegistry mRegistry;
    private final TimerService mTimers;
    private final Consumer<String> mOnEvidentFault;
    private final Map<RolloutRoute, PairedFigures> mCounts = new TreeMap<>();
    private final Map<RolloutRoute, SlidingWindowCounts> mRecent = new TreeMap<>();

    /** Calls {@code onEvidentFault} with the name of each rollout that this router is to stop. */
    public VersionCallCounter(
            RolloutView view,
            BackendRegistry registry,
            TimerService timers,
            Consumer<String> onEvidentFault) {
        mView = view;
        mRegistry = registry;
        mTimers = timers;
        mOnEvidentFault = onEvidentFault;
    }

    @Override
    public void onOutcome(CallOutcome outcome) {
        mView.currentFor(outcome.server().service())
                .filter(summary -> !summary.state().terminal())
                .ifPresent(summary -> count(summary, outcome));
    }

    private void count(RolloutSummary summary, CallOutcome outcome) {
        String route = summary.route(outcome.path());
        Optional<PairedFigures> counts =
                figures(outcome, summary.rule(route))
                        .flatMap(figures -> pair(summary, outcome, figures));
        counts.ifPresent(
                pair -> {
                    RolloutRoute key = new RolloutRoute(summary.name(), route);
                    mCounts.merge(key, pair, PairedFigures::plus);
                    PairedFigures recent =
                            mRecent.computeIfAbsent(key, k -> new SlidingWindowCounts())
                                    .add(pair, mTimers.nowMillis());
                    if (pair.newVersion().failures() > 0 && isEvidentFault(recent)) {
                        mOnEvidentFault.accept(summary.name());
                    }
                });
    }

    private static boolean isEvidentFault(PairedFigures recent) {
        VersionFigures newVersion = recent.newVersion();
        VersionFigures oldVersion = recent.oldVersion();
        return newVersion.failures() >= MIN_FAILURES_TO_STOP
                && PairedEvidence.logMean(
                                PairedEvidence.logRatios(
                                        newVersion.calls(),
                                        newVersion.failures(),
                                        oldVersion.calls(),
                                        oldVersion.failures()))
                        >= LOG_STOP_THRESHOLD;
    }

    private static Optional<PairedFigures> pair(
            RolloutSummary summary, CallOutcome outcome, VersionFigures figures) {
        String version = outcome.server().version();
        if (version.equals(summary.toVersion())) {
            return Optional.of(new PairedFigures(VersionFigures.ZERO, figures));
        }
        return version.equals(summary.fromVersion())
                ? Optional.of(new PairedFigures(figures, VersionFigures.ZERO))
                : Optional.empty();
    }

    private Optional<VersionFigures> figures(CallOutcome outcome, JudgementRule rule) {
        return switch (outcome.result()) {
            case SERVER_ERROR, FAILED -> Optional.of(new VersionFigures(1, 1, 0, 0, 0));
            case ANSWERED -> Optional.of(answered(outcome, rule));
            case GIVEN_UP -> givenUp(outcome, rule);
        };
    }

    private VersionFigures answered(CallOutcome outcome, JudgementRule rule) {
        if (!isWarm(outcome)) {
            return new VersionFigures(1, 0, 0, 0, 0);
        }
        int slowFirst = outcome.firstByteMillis() > rule.firstTokenMillis() ? 1 : 0;
        int slowBetween = meanMillisBetweenTokens(outcome) > rule.betweenTokensMillis() ? 1 : 0;
        return new VersionFigures(1, 0, 1, slowFirst, slowBetween);
    }

    /** Counts a call as slow if it was given up without a first token after the limit for it. */
    private Optional<VersionFigures> givenUp(CallOutcome outcome, JudgementRule rule) {
        boolean slowFirstToken =
                outcome.firstByteMillis() < 0 && outcome.totalMillis() > rule.firstTokenMillis();
        return slowFirstToken && isWarm(outcome)
                ? Optional.of(new VersionFigures(1, 0, 1, 1, 0))
                : Optional.empty();
    }

    private boolean isWarm(CallOutcome outcome) {
        return mRegistry
                .status(outcome.server().name())
                .filter(status -> status.state() == BackendState.READY)
                .isPresent();
    }

    private static double meanMillisBetweenTokens(CallOutcome outcome) {
        return outcome.parts() < 2
                ? 0
                : (double) (outcome.totalMillis() - outcome.firstByteMillis())
                        / (outcome.parts() - 1);
    }

    /**
     * Returns the counts since the last call, and drops the windows of rollouts that have ended.
     */
    List<VersionReport.Row> drain() {
        List<VersionReport.Row> rows =
                mCounts.entrySet().stream().map(e -> e.getKey().row(e.getValue())).toList();
        mCounts.clear();
        mRecent.keySet()
                .removeIf(
                        key ->
                                mView.summary(key.rollout())
                                        .filter(summary -> !summary.state().terminal())
                                        .isEmpty());
        return rows;
    }

    /** The key of the counts: one route of one rollout. */
    private record RolloutRoute(String rollout, String route) implements Comparable<RolloutRoute> {
        VersionReport.Row row(PairedFigures counts) {
            return new VersionReport.Row(rollout, route, counts);
        }

        @Override
        public int compareTo(RolloutRoute other) {
            int byRollout = rollout.compareTo(other.rollout);
            return byRollout != 0 ? byRollout : route.compareTo(other.route);
        }
    }
}
