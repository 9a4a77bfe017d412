package io.rhubarbward.net.peer;

import io.rhubarbward.gen.move.RolloutDigestStruct;
import io.rhubarbward.gen.move.RolloutNewsStruct;
import io.rhubarbward.gen.move.RolloutWordStruct;
import io.rhubarbward.gen.move.RuleStruct;
import io.rhubarbward.gen.move.VersionReportRowStruct;
import io.rhubarbward.gen.move.VersionReportStruct;
import io.rhubarbward.move.JudgementRule;
import io.rhubarbward.move.PairedFigures;
import io.rhubarbward.move.RolloutDigest;
import io.rhubarbward.move.RolloutNews;
import io.rhubarbward.move.RolloutState;
import io.rhubarbward.move.RolloutSummary;
import io.rhubarbward.move.VersionFigures;
import io.rhubarbward.move.VersionReport;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The codecs of the messages about rollouts: kinds 60 to 69. */
final class MoveCodecs {
    private static final PeerCodec<RolloutNews, RolloutNewsStruct> ROLLOUT_NEWS =
            new PeerCodec<>(
                    60,
                    RolloutNews.class,
                    RolloutNewsStruct::new,
                    news ->
                            new RolloutNewsStruct(
                                    news.summaries().stream().map(MoveCodecs::toStruct).toList(),
                                    news.stopped()),
                    struct ->
                            new RolloutNews(
                                    struct.getWords().stream().map(MoveCodecs::fromStruct).toList(),
                                    struct.getStopped()));
    private static final PeerCodec<VersionReport, VersionReportStruct> VERSION_REPORT =
            new PeerCodec<>(
                    61,
                    VersionReport.class,
                    VersionReportStruct::new,
                    report ->
                            new VersionReportStruct(
                                    report.sequence(),
                                    report.rows().stream().map(MoveCodecs::toStruct).toList(),
                                    report.stopped()),
                    struct ->
                            new VersionReport(
                                    struct.getSequence(),
                                    struct.getRows().stream().map(MoveCodecs::fromStruct).toList(),
                                    struct.getStopped()));
    private static final PeerCodec<RolloutDigest, RolloutDigestStruct> ROLLOUT_DIGEST =
            new PeerCodec<>(
                    62,
                    RolloutDigest.class,
                    RolloutDigestStruct::new,
                    digest ->
                            new RolloutDigestStruct(
                                    digest.known(), digest.versions(), digest.stopped()),
                    struct ->
                            new RolloutDigest(
                                    struct.isKnown(), struct.getVersions(), struct.getStopped()));

    private MoveCodecs() {}

    static List<PeerCodec<?, ?>> all() {
        return List.of(ROLLOUT_NEWS, VERSION_REPORT, ROLLOUT_DIGEST);
    }

    private static RolloutWordStruct toStruct(RolloutSummary summary) {
        Map<String, RuleStruct> rules = new HashMap<>();
        summary.rules().forEach((route, rule) -> rules.put(route, toStruct(rule)));
        return new RolloutWordStruct(
                summary.name(),
                summary.version(),
                summary.service(),
                summary.fromVersion(),
                summary.toVersion(),
                summary.state().name(),
                summary.sharePermille(),
                summary.plannedMillis(),
                rules);
    }

    private static RolloutSummary fromStruct(RolloutWordStruct struct) {
        Map<String, JudgementRule> rules = new HashMap<>();
        struct.getRules().forEach((route, rule) -> rules.put(route, fromStruct(rule)));
        return new RolloutSummary(
                struct.getName(),
                struct.getVersion(),
                struct.getServiceName(),
                struct.getFromVersion(),
                struct.getToVersion(),
                RolloutState.valueOf(struct.getState()),
                struct.getSharePermille(),
                struct.getPlannedMillis(),
                rules);
    }

    private static RuleStruct toStruct(JudgementRule rule) {
        return new RuleStruct(
                rule.errorRatio(),
                rule.firstTokenMillis(),
                rule.betweenTokensMillis(),
                rule.slowRatio());
    }

    private static JudgementRule fromStruct(RuleStruct struct) {
        return new JudgementRule(
                struct.getErrorRatio(),
                struct.getFirstTokenMillis(),
                struct.getBetweenTokensMillis(),
                struct.getSlowRatio());
    }

    private static VersionReportRowStruct toStruct(VersionReport.Row row) {
        return new VersionReportRowStruct(
                row.rollout(),
                row.route(),
                toCounts(row.counts().oldVersion()),
                toCounts(row.counts().newVersion()));
    }

    private static VersionReport.Row fromStruct(VersionReportRowStruct struct) {
        return new VersionReport.Row(
                struct.getRollout(),
                struct.getRoute(),
                new PairedFigures(
                        fromCounts(struct.getOldVersion()), fromCounts(struct.getNewVersion())));
    }

    static List<Integer> toCounts(VersionFigures figures) {
        return List.of(
                figures.calls(),
                figures.failures(),
                figures.timed(),
                figures.slowFirst(),
                figures.slowBetween());
    }

    static VersionFigures fromCounts(List<Integer> counts) {
        return new VersionFigures(
                counts.get(0), counts.get(1), counts.get(2), counts.get(3), counts.get(4));
    }
}
