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
 * Counts this router's calls by rollout, version and route, and notices plain faults at once.
 *
 * <p>Times of cold servers are not counted, since a new version's servers are all cold at first.
 */
public final class VersionTally implements CallObserver {
    private static final int MIN_FAILURES = 4;
    private static final double LOG_STOP_THRESHOLD = Math.log(10_000);

    private final RolloutBoard mBoard;
    private final BackendRegistry mRegistry;
    private final TimerService mTimers;
    private final Consumer<String> mOnPlainFault;
    private final Map<Cell, PairedFigures> mCounts = new TreeMap<>();
    private final Map<Cell, RecentCounts> mRecent = new TreeMap<>();

    /** Calls {@code onPlainFault} with the name of a rollout that this router is to stop. */
    public VersionTally(
            RolloutBoard board,
            BackendRegistry registry,
            TimerService timers,
            Consumer<String> onPlainFault) {
        mBoard = board;
        mRegistry = registry;
        mTimers = timers;
        mOnPlainFault = onPlainFault;
    }

    @Override
    public void onOutcome(CallOutcome outcome) {
        mBoard.deciding(outcome.server().service())
                .filter(word -> !word.state().over())
                .ifPresent(word -> count(word, outcome));
    }

    private void count(RolloutSummary word, CallOutcome outcome) {
        String route = word.route(outcome.path());
        Optional<PairedFigures> counts =
                figures(outcome, word.rule(route)).flatMap(figures -> pair(word, outcome, figures));
        counts.ifPresent(
                pair -> {
                    Cell cell = new Cell(word.name(), route);
                    mCounts.merge(cell, pair, PairedFigures::plus);
                    PairedFigures recent =
                            mRecent.computeIfAbsent(cell, c -> new RecentCounts())
                                    .add(pair, mTimers.nowMillis());
                    if (pair.newVersion().failures() > 0 && plainFault(recent)) {
                        mOnPlainFault.accept(word.name());
                    }
                });
    }

    private static boolean plainFault(PairedFigures recent) {
        VersionFigures newVersion = recent.newVersion();
        VersionFigures oldVersion = recent.oldVersion();
        return newVersion.failures() >= MIN_FAILURES
                && PairedEvidence.logMean(
                                PairedEvidence.logRatios(
                                        newVersion.calls(),
                                        newVersion.failures(),
                                        oldVersion.calls(),
                                        oldVersion.failures()))
                        >= LOG_STOP_THRESHOLD;
    }

    private static Optional<PairedFigures> pair(
            RolloutSummary word, CallOutcome outcome, VersionFigures figures) {
        String version = outcome.server().version();
        if (version.equals(word.toVersion())) {
            return Optional.of(new PairedFigures(VersionFigures.ZERO, figures));
        }
        return version.equals(word.fromVersion())
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
        if (!warm(outcome)) {
            return new VersionFigures(1, 0, 0, 0, 0);
        }
        int slowFirst = outcome.firstByteMillis() > rule.firstTokenMillis() ? 1 : 0;
        int slowBetween = betweenTokens(outcome) > rule.betweenTokensMillis() ? 1 : 0;
        return new VersionFigures(1, 0, 1, slowFirst, slowBetween);
    }

    /** A caller that left after the time for a first token had passed says that it was late. */
    private Optional<VersionFigures> givenUp(CallOutcome outcome, JudgementRule rule) {
        boolean late =
                outcome.firstByteMillis() < 0 && outcome.totalMillis() > rule.firstTokenMillis();
        return late && warm(outcome)
                ? Optional.of(new VersionFigures(1, 0, 1, 1, 0))
                : Optional.empty();
    }

    private boolean warm(CallOutcome outcome) {
        return mRegistry
                .status(outcome.server().name())
                .filter(status -> status.state() == BackendState.READY)
                .isPresent();
    }

    private static double betweenTokens(CallOutcome outcome) {
        return outcome.parts() < 2
                ? 0
                : (double) (outcome.totalMillis() - outcome.firstByteMillis())
                        / (outcome.parts() - 1);
    }

    /** Returns what was counted since the last call, and forgets rollouts that are over. */
    List<VersionReport.Row> drain() {
        List<VersionReport.Row> rows =
                mCounts.entrySet().stream().map(e -> e.getKey().row(e.getValue())).toList();
        mCounts.clear();
        mRecent.keySet()
                .removeIf(
                        cell ->
                                mBoard.word(cell.rollout())
                                        .filter(word -> !word.state().over())
                                        .isEmpty());
        return rows;
    }

    /** One rollout on one route. */
    private record Cell(String rollout, String route) implements Comparable<Cell> {
        VersionReport.Row row(PairedFigures counts) {
            return new VersionReport.Row(rollout, route, counts);
        }

        @Override
        public int compareTo(Cell other) {
            int byRollout = rollout.compareTo(other.rollout);
            return byRollout != 0 ? byRollout : route.compareTo(other.route);
        }
    }
}
