package io.rhubarbward.cli;

import io.rhubarbward.move.Rollout;
import io.rhubarbward.move.VersionFigures;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/** Writes rollouts as plain tables. */
final class MoveTable {
    private static final double PERMILLE_PER_PERCENT = 10.0;
    private static final String COURSE = "%-20s %-10s %7s  %8s %7s %7s %7s  %8s %7s %7s %7s";

    private MoveTable() {}

    static List<String> summary(List<Rollout> rollouts) {
        String format = "%-20s %-16s %-14s %-10s %7s  %s";
        Stream<String> head =
                Stream.of(
                        format(
                                format,
                                "rollout",
                                "service",
                                "versions",
                                "state",
                                "share",
                                "reason"));
        return Stream.concat(head, rollouts.stream().map(rollout -> line(format, rollout)))
                .toList();
    }

    private static String line(String format, Rollout rollout) {
        return format(
                format,
                rollout.name(),
                rollout.plan().service(),
                rollout.plan().fromVersion() + " -> " + rollout.plan().toVersion(),
                rollout.state(),
                percent(rollout.effectiveSharePermille()),
                rollout.reason());
    }

    static List<String> course(Rollout rollout) {
        String from = "v" + rollout.plan().fromVersion();
        String to = "v" + rollout.plan().toVersion();
        Stream<String> head =
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
                                COURSE, "time", "state", "share", from, "errors", "first",
                                "between", to, "errors", "first", "between"));
        return Stream.concat(head, rollout.history().stream().map(MoveTable::line)).toList();
    }

    private static String line(Rollout.Step step) {
        VersionFigures old = step.figures().oldVersion();
        VersionFigures fresh = step.figures().newVersion();
        return format(
                COURSE,
                time(step.atMillis()),
                step.state(),
                percent(step.sharePermille()),
                old.calls(),
                ratio(old.failures(), old.calls()),
                ratio(old.slowFirst(), old.timed()),
                ratio(old.slowBetween(), old.timed()),
                fresh.calls(),
                ratio(fresh.failures(), fresh.calls()),
                ratio(fresh.slowFirst(), fresh.timed()),
                ratio(fresh.slowBetween(), fresh.timed()));
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
