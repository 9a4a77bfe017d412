package io.rhubarbward.cli;

import io.rhubarbward.move.Rollout;
import io.rhubarbward.move.VersionFigures;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/** Formats rollouts as tables of plain text. */
final class RolloutTable {
    private static final double PERMILLE_PER_PERCENT = 10.0;
    private static final String HISTORY_ROW_FORMAT =
            "%-20s %-10s %7s  %8s %7s %7s %7s  %8s %7s %7s %7s";

    private RolloutTable() {}

    /** Returns a header and one row for each rollout. */
    static List<String> summary(List<Rollout> rollouts) {
        String rowFormat = "%-20s %-16s %-14s %-10s %7s  %s";
        Stream<String> header =
                Stream.of(
                        format(
                                rowFormat,
                                "rollout",
                                "service",
                                "versions",
                                "state",
                                "share",
                                "reason"));
        return Stream.concat(header, rollouts.stream().map(rollout -> row(rowFormat, rollout)))
                .toList();
    }

    private static String row(String rowFormat, Rollout rollout) {
        return format(
                rowFormat,
                rollout.name(),
                rollout.plan().service(),
                rollout.plan().fromVersion() + " -> " + rollout.plan().toVersion(),
                rollout.state(),
                percent(rollout.effectiveSharePermille()),
                rollout.reason());
    }

    /**
     * Returns a line on the rollout, a header and one row for each step of its history. A row has,
     * for each version, the number of calls and the percentages of failed calls, of calls with a
     * slow first token and of calls with slow tokens after it.
     */
    static List<String> history(Rollout rollout) {
        String from = "v" + rollout.plan().fromVersion();
        String to = "v" + rollout.plan().toVersion();
        Stream<String> header =
                Stream.of(
                        format(
                                "%s: %s %s -> %s, %s, reason %s%s, finish by %s",
                                rollout.name(),
                                rollout.plan().service(),
                                from,
                                to,
                                rollout.state(),
                                rollout.reason(),
                                rollout.reasonRoute().isEmpty()
                                        ? ""
                                        : " on " + rollout.reasonRoute(),
                                time(rollout.plan().finishByMillis())),
                        format(
                                HISTORY_ROW_FORMAT,
                                "time",
                                "state",
                                "share",
                                from,
                                "errors",
                                "first",
                                "between",
                                to,
                                "errors",
                                "first",
                                "between"));
        return Stream.concat(header, rollout.history().stream().map(RolloutTable::row)).toList();
    }

    private static String row(Rollout.Step step) {
        VersionFigures oldVersion = step.figures().oldVersion();
        VersionFigures newVersion = step.figures().newVersion();
        return format(
                HISTORY_ROW_FORMAT,
                time(step.atMillis()),
                step.state(),
                percent(step.sharePermille()),
                oldVersion.calls(),
                ratio(oldVersion.failures(), oldVersion.calls()),
                ratio(oldVersion.slowFirst(), oldVersion.timed()),
                ratio(oldVersion.slowBetween(), oldVersion.timed()),
                newVersion.calls(),
                ratio(newVersion.failures(), newVersion.calls()),
                ratio(newVersion.slowFirst(), newVersion.timed()),
                ratio(newVersion.slowBetween(), newVersion.timed()));
    }

    private static String time(long epochMillis) {
        return Instant.ofEpochMilli(epochMillis).truncatedTo(ChronoUnit.SECONDS).toString();
    }

    private static String percent(int permille) {
        return format("%.1f%%", permille / PERMILLE_PER_PERCENT);
    }

    private static String ratio(int part, int whole) {
        return whole == 0 ? "-" : format("%.2f%%", 100.0 * part / whole);
    }

    private static String format(String format, Object... values) {
        return String.format(Locale.ROOT, format, values);
    }
}
