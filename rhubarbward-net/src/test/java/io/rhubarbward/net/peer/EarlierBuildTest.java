package io.rhubarbward.net.peer;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.crash.CrashSuspect;
import io.rhubarbward.membership.PeerMessage;
import io.rhubarbward.move.PairedFigures;
import io.rhubarbward.move.VersionFigures;
import io.rhubarbward.placement.LimitObservation;
import io.rhubarbward.relay.DataCentreLoad;
import io.rhubarbward.relay.FollowAnswer;
import io.rhubarbward.relay.FollowAnswer.KindNews;
import io.rhubarbward.relay.FollowRequest;
import io.rhubarbward.relay.LoadReport;
import io.rhubarbward.relay.LoadTotals;
import io.rhubarbward.relay.SuspectNews;
import io.rhubarbward.store.KindUpdate;
import io.rhubarbward.store.StoreRevision;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Frames recorded with build 366e4a3, which runs beside this one during an upgrade. A frame that is
 * written differently now may not be read by that build.
 */
final class EarlierBuildTest {
    private static final StoreRevision REVISION = new StoreRevision(3, 12);
    private static final Map<Integer, LimitObservation> LIMITS =
            Map.of(-5, new LimitObservation(OptionalDouble.of(3.5), 40, 2));
    private static final Map<String, PairedFigures> VERSIONS =
            Map.of(
                    "chat v2 r-1",
                    new PairedFigures(
                            new VersionFigures(9, 1, 8, 0, 2), new VersionFigures(4, 3, 2, 1, 0)));

    private static final Map<Long, Integer> ACCOUNTS = Map.of(-7L, 15);

    private final PeerFrameCodec mCodec = new PeerFrameCodec();

    static Stream<Arguments> recorded() {
        return Stream.of(
                Arguments.of(
                        new FollowRequest(7, 900, Map.of("config", REVISION)),
                        "1807656e7472792d31158e011815160e16880e1b018c06636f6e66696716"
                                + "061618000000"),
                Arguments.of(
                        new FollowAnswer(
                                7,
                                true,
                                5000,
                                List.of(
                                        new KindNews(
                                                new KindUpdate(
                                                        "servers", REVISION, REVISION, List.of()),
                                                300))),
                        "1807656e7472792d311590011824160e1116904e191c1807736572766572"
                                + "731c16061618001c1606161800190c16d804000000"),
                Arguments.of(
                        new LoadReport(3, -9, Map.of(-5, 2), LIMITS, VERSIONS, Map.of()),
                        "1807656e7472792d31159201183a16061b0155090416111b015c09170000"
                                + "000000000c4016501504001b018c0b6368617420763220722d3119551202"
                                + "10000419550806040200000000"),
                Arguments.of(
                        new LoadTotals(3, -9, Map.of(-5, 2), LIMITS, VERSIONS, Map.of()),
                        "1807656e7472792d31159401183a16061b0155090416111b015c09170000"
                                + "000000000c4016501504001b018c0b6368617420763220722d3119551202"
                                + "10000419550806040200000000"),
                Arguments.of(
                        new DataCentreLoad(
                                "entry-2", 80, true, -9, Map.of(9, 1), LIMITS, VERSIONS, Map.of()),
                        "1807656e7472792d3115960118451807656e7472792d3216a001111b0155"
                                + "120216111b015c09170000000000000c4016501504001b018c0b63686174"
                                + "20763220722d311955120210000419550806040200000000"),
                Arguments.of(
                        new SuspectNews(List.of(new CrashSuspect(-4, Map.of(-8L, 5L), 3))),
                        "1807656e7472792d31159801180d191c16071b01660f0a1606000000"));
    }

    /** Frames with counts by account. Build b9bc633 reads all other fields of these frames. */
    static Stream<Arguments> recordedWithAccounts() {
        return Stream.of(
                Arguments.of(
                        new LoadReport(3, -9, Map.of(-5, 2), LIMITS, VERSIONS, ACCOUNTS),
                        "1807656e7472792d31159201183f16061b0155090416111b015c09170000"
                                + "000000000c4016501504001b018c0b6368617420763220722d3119551202"
                                + "10000419550806040200001b01650d1e0000"),
                Arguments.of(
                        new LoadTotals(3, -9, Map.of(-5, 2), LIMITS, VERSIONS, ACCOUNTS),
                        "1807656e7472792d31159401183f16061b0155090416111b015c09170000"
                                + "000000000c4016501504001b018c0b6368617420763220722d3119551202"
                                + "10000419550806040200001b01650d1e0000"),
                Arguments.of(
                        new DataCentreLoad(
                                "entry-2", 80, true, -9, Map.of(9, 1), LIMITS, VERSIONS, ACCOUNTS),
                        "1807656e7472792d31159601184a1807656e7472792d3216a001111b0155"
                                + "120216111b015c09170000000000000c4016501504001b018c0b63686174"
                                + "20763220722d311955120210000419550806040200001b01650d1e0000"));
    }

    @ParameterizedTest
    @MethodSource({"recorded", "recordedWithAccounts"})
    void framesAreReadAndWrittenAsByTheEarlierBuild(PeerMessage message, String frame) {
        byte[] bytes = HexFormat.of().parseHex(frame);
        assertThat(mCodec.decode(bytes).get().get())
                .isEqualTo(new PeerFrameCodec.Received(Optional.of("entry-1"), message));
        assertThat(mCodec.encode(Optional.of("entry-1"), message)).isEqualTo(bytes);
    }
}
