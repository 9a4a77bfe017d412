package io.rhubarbward.net.peer;

import io.rhubarbward.crash.CrashSuspect;
import io.rhubarbward.gen.fleet.CrashSuspectStruct;
import io.rhubarbward.gen.fleet.DataCentreLoadStruct;
import io.rhubarbward.gen.fleet.FollowAnswerStruct;
import io.rhubarbward.gen.fleet.FollowRequestStruct;
import io.rhubarbward.gen.fleet.KindNewsStruct;
import io.rhubarbward.gen.fleet.LimitObservationStruct;
import io.rhubarbward.gen.fleet.LoadReportStruct;
import io.rhubarbward.gen.fleet.LoadTotalsStruct;
import io.rhubarbward.gen.fleet.ObjectStateStruct;
import io.rhubarbward.gen.fleet.PairedFiguresStruct;
import io.rhubarbward.gen.fleet.StoreRevisionStruct;
import io.rhubarbward.gen.fleet.SuspectNewsStruct;
import io.rhubarbward.move.PairedFigures;
import io.rhubarbward.placement.LimitObservation;
import io.rhubarbward.relay.DataCentreLoad;
import io.rhubarbward.relay.FollowAnswer;
import io.rhubarbward.relay.FollowAnswer.KindNews;
import io.rhubarbward.relay.FollowRequest;
import io.rhubarbward.relay.LoadReport;
import io.rhubarbward.relay.LoadTotals;
import io.rhubarbward.relay.SuspectNews;
import io.rhubarbward.store.KindUpdate;
import io.rhubarbward.store.KindUpdate.ObjectState;
import io.rhubarbward.store.StoreRevision;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/** The codecs of the messages between relays and their followers: kinds 71 to 79. */
final class RelayCodecs {
    private static final PeerCodec<FollowRequest, FollowRequestStruct> FOLLOW_REQUEST =
            new PeerCodec<>(
                    71,
                    FollowRequest.class,
                    FollowRequestStruct::new,
                    request ->
                            new FollowRequestStruct(
                                    request.sentMillis(),
                                    request.unansweredMillis(),
                                    request.revisions().entrySet().stream()
                                            .collect(
                                                    Collectors.toMap(
                                                            Map.Entry::getKey,
                                                            entry -> toStruct(entry.getValue())))),
                    struct ->
                            new FollowRequest(
                                    struct.getSentMillis(),
                                    struct.getUnansweredMillis(),
                                    struct.getRevisions().entrySet().stream()
                                            .collect(
                                                    Collectors.toMap(
                                                            Map.Entry::getKey,
                                                            entry ->
                                                                    fromStruct(
                                                                            entry.getValue())))));

    private static final PeerCodec<FollowAnswer, FollowAnswerStruct> FOLLOW_ANSWER =
            new PeerCodec<>(
                    72,
                    FollowAnswer.class,
                    FollowAnswerStruct::new,
                    answer ->
                            new FollowAnswerStruct(
                                    answer.echoMillis(),
                                    answer.serving(),
                                    answer.millisSinceOutage(),
                                    answer.kinds().stream().map(RelayCodecs::toStruct).toList()),
                    struct ->
                            new FollowAnswer(
                                    struct.getEchoMillis(),
                                    struct.isServing(),
                                    struct.getMillisSinceOutage(),
                                    struct.getKinds().stream()
                                            .map(RelayCodecs::fromStruct)
                                            .toList()));

    private static final PeerCodec<LoadReport, LoadReportStruct> LOAD_REPORT =
            new PeerCodec<>(
                    73,
                    LoadReport.class,
                    LoadReportStruct::new,
                    report ->
                            withAccountPlaces(
                                    new LoadReportStruct(
                                            report.sequence(),
                                            report.inFlight(),
                                            report.suspectsDigest(),
                                            toStructs(report.limits()),
                                            versionStructs(report.versions())),
                                    report.accountPlaces(),
                                    LoadReportStruct::setAccountPlaces),
                    struct ->
                            new LoadReport(
                                    struct.getSequence(),
                                    struct.getSuspectsDigest(),
                                    struct.getInFlight(),
                                    fromStructs(struct.getLimits()),
                                    fromVersionStructs(struct.getVersions()),
                                    accountPlaces(struct.getAccountPlaces())));

    private static final PeerCodec<LoadTotals, LoadTotalsStruct> LOAD_TOTALS =
            new PeerCodec<>(
                    74,
                    LoadTotals.class,
                    LoadTotalsStruct::new,
                    totals ->
                            withAccountPlaces(
                                    new LoadTotalsStruct(
                                            totals.echoSequence(),
                                            totals.inFlight(),
                                            totals.suspectsDigest(),
                                            toStructs(totals.limits()),
                                            versionStructs(totals.versions())),
                                    totals.accountPlaces(),
                                    LoadTotalsStruct::setAccountPlaces),
                    struct ->
                            new LoadTotals(
                                    struct.getEchoSequence(),
                                    struct.getSuspectsDigest(),
                                    struct.getInFlight(),
                                    fromStructs(struct.getLimits()),
                                    fromVersionStructs(struct.getVersions()),
                                    accountPlaces(struct.getAccountPlaces())));

    private static final PeerCodec<DataCentreLoad, DataCentreLoadStruct> DATA_CENTRE_LOAD =
            new PeerCodec<>(
                    75,
                    DataCentreLoad.class,
                    DataCentreLoadStruct::new,
                    load ->
                            withAccountPlaces(
                                    new DataCentreLoadStruct(
                                            load.aggregator(),
                                            load.unheardMillis(),
                                            load.forwarded(),
                                            load.inFlight(),
                                            load.suspectsDigest(),
                                            toStructs(load.limits()),
                                            versionStructs(load.versions())),
                                    load.accountPlaces(),
                                    DataCentreLoadStruct::setAccountPlaces),
                    struct ->
                            new DataCentreLoad(
                                    struct.getAggregator(),
                                    struct.getUnheardMillis(),
                                    struct.isForwarded(),
                                    struct.getSuspectsDigest(),
                                    struct.getInFlight(),
                                    fromStructs(struct.getLimits()),
                                    fromVersionStructs(struct.getVersions()),
                                    accountPlaces(struct.getAccountPlaces())));

    private static final PeerCodec<SuspectNews, SuspectNewsStruct> SUSPECT_NEWS =
            new PeerCodec<>(
                    76,
                    SuspectNews.class,
                    SuspectNewsStruct::new,
                    news ->
                            new SuspectNewsStruct(
                                    news.suspects().stream().map(RelayCodecs::toStruct).toList()),
                    struct ->
                            new SuspectNews(
                                    struct.getSuspects().stream()
                                            .map(RelayCodecs::fromStruct)
                                            .toList()));

    private RelayCodecs() {}

    static List<PeerCodec<?, ?>> all() {
        return List.of(
                FOLLOW_REQUEST,
                FOLLOW_ANSWER,
                LOAD_REPORT,
                LOAD_TOTALS,
                DATA_CENTRE_LOAD,
                SUSPECT_NEWS);
    }

    private static KindNewsStruct toStruct(KindNews news) {
        KindUpdate update = news.update();
        KindNewsStruct struct =
                new KindNewsStruct(
                        update.kind(),
                        toStruct(update.revision()),
                        update.objects().stream().map(RelayCodecs::toStruct).toList(),
                        news.stalenessMillis());
        if (!update.snapshot()) {
            struct.setSince(toStruct(update.since()));
        }
        return struct;
    }

    private static StoreRevisionStruct toStruct(StoreRevision revision) {
        return new StoreRevisionStruct(revision.era(), revision.number());
    }

    private static StoreRevision fromStruct(StoreRevisionStruct struct) {
        return new StoreRevision(struct.getEra(), struct.getNumber());
    }

    private static Map<Integer, LimitObservationStruct> toStructs(
            Map<Integer, LimitObservation> limits) {
        return limits.entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, entry -> toStruct(entry.getValue())));
    }

    private static LimitObservationStruct toStruct(LimitObservation observed) {
        LimitObservationStruct struct =
                new LimitObservationStruct(observed.ageMillis(), observed.sends());
        observed.perSecond().ifPresent(struct::setPerSecond);
        return struct;
    }

    private static Map<Integer, LimitObservation> fromStructs(
            Map<Integer, LimitObservationStruct> structs) {
        return structs.entrySet().stream()
                .collect(
                        Collectors.toMap(Map.Entry::getKey, entry -> fromStruct(entry.getValue())));
    }

    private static LimitObservation fromStruct(LimitObservationStruct struct) {
        return new LimitObservation(
                struct.isSetPerSecond()
                        ? OptionalDouble.of(struct.getPerSecond())
                        : OptionalDouble.empty(),
                struct.getAgeMillis(),
                struct.getSends());
    }

    private static Map<String, PairedFiguresStruct> versionStructs(
            Map<String, PairedFigures> versions) {
        return versions.entrySet().stream()
                .collect(
                        Collectors.toMap(
                                Map.Entry::getKey,
                                entry ->
                                        new PairedFiguresStruct(
                                                MoveCodecs.toCounts(entry.getValue().oldVersion()),
                                                MoveCodecs.toCounts(
                                                        entry.getValue().newVersion()))));
    }

    private static Map<String, PairedFigures> fromVersionStructs(
            Map<String, PairedFiguresStruct> structs) {
        return structs.entrySet().stream()
                .collect(
                        Collectors.toMap(
                                Map.Entry::getKey,
                                entry ->
                                        new PairedFigures(
                                                MoveCodecs.fromCounts(
                                                        entry.getValue().getOldVersion()),
                                                MoveCodecs.fromCounts(
                                                        entry.getValue().getNewVersion()))));
    }

    /** Leaves out an empty map: an earlier build writes no such field. */
    private static <S> S withAccountPlaces(
            S struct, Map<Long, Integer> accountPlaces, BiConsumer<S, Map<Long, Integer>> setter) {
        if (!accountPlaces.isEmpty()) {
            setter.accept(struct, accountPlaces);
        }
        return struct;
    }

    private static Map<Long, Integer> accountPlaces(@Nullable Map<Long, Integer> received) {
        return received == null ? Map.of() : received;
    }

    private static CrashSuspectStruct toStruct(CrashSuspect suspect) {
        CrashSuspectStruct struct =
                new CrashSuspectStruct(suspect.trait(), suspect.crashes(), suspect.answers());
        // An earlier build writes no such field, and its frames must be the same.
        return suspect.otherAnswers() == 0
                ? struct
                : struct.setOtherAnswers(suspect.otherAnswers());
    }

    private static CrashSuspect fromStruct(CrashSuspectStruct struct) {
        return new CrashSuspect(
                struct.getTrait(),
                struct.getCrashes(),
                struct.getAnswers(),
                struct.getOtherAnswers());
    }

    private static ObjectStateStruct toStruct(ObjectState object) {
        ObjectStateStruct struct =
                new ObjectStateStruct(object.name(), toStruct(object.revision()));
        if (!object.deleted()) {
            struct.setText(object.text());
        }
        return struct;
    }

    private static KindNews fromStruct(KindNewsStruct struct) {
        return new KindNews(
                new KindUpdate(
                        struct.getKind(),
                        struct.isSetSince() ? fromStruct(struct.getSince()) : KindUpdate.SNAPSHOT,
                        fromStruct(struct.getRevision()),
                        struct.getObjects().stream().map(RelayCodecs::fromStruct).toList()),
                struct.getStalenessMillis());
    }

    private static ObjectState fromStruct(ObjectStateStruct struct) {
        if (!struct.isSetText()) {
            return ObjectState.deleted(struct.getName());
        }
        String text = struct.getText();
        return new ObjectState(struct.getName(), fromStruct(struct.getRevision()), () -> text);
    }
}
