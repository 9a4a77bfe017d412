package io.rhubarbward.net.peer;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.admission.AccountUsage;
import io.rhubarbward.crash.CrashSuspect;
import io.rhubarbward.membership.AliveAnswer;
import io.rhubarbward.membership.AliveQuery;
import io.rhubarbward.membership.Heartbeat;
import io.rhubarbward.membership.Introduction;
import io.rhubarbward.membership.PeerMessage;
import io.rhubarbward.move.PairedFigures;
import io.rhubarbward.move.VersionFigures;
import io.rhubarbward.placement.LimitObservation;
import io.rhubarbward.quota.HoldingsQuery;
import io.rhubarbward.quota.QuotaAnswer;
import io.rhubarbward.quota.QuotaAsk;
import io.rhubarbward.relay.DataCentreLoad;
import io.rhubarbward.relay.FollowAnswer;
import io.rhubarbward.relay.FollowAnswer.KindNews;
import io.rhubarbward.relay.FollowRequest;
import io.rhubarbward.relay.LoadReport;
import io.rhubarbward.relay.LoadTotals;
import io.rhubarbward.relay.SuspectNews;
import io.rhubarbward.store.KindUpdate;
import io.rhubarbward.store.StoreRevision;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

final class PeerFrameCodecTest {
    private static final Map<Integer, LimitObservation> LIMITS =
            Map.of(
                    -5, new LimitObservation(OptionalDouble.of(3.7), 40, 2),
                    9, new LimitObservation(OptionalDouble.empty(), 0, 0));

    private static final Map<String, PairedFigures> VERSIONS =
            Map.of(
                    "chat v2 r-1",
                    new PairedFigures(
                            new VersionFigures(9, 1, 8, 0, 2), new VersionFigures(4, 3, 2, 1, 0)));

    private static final Map<Long, Integer> ACCOUNTS = Map.of(Long.MIN_VALUE, 15, 7L, 24_000);

    private final PeerFrameCodec mCodec = new PeerFrameCodec();

    static Stream<PeerMessage> messages() {
        List<QuotaAsk.Claim> claims = List.of(new QuotaAsk.Claim("backend/e", 3, 1));
        return Stream.of(
                new Heartbeat(1_796_000_000_000L, 12),
                new Introduction("dc-a", "10.0.0.1:8082", 7),
                new AliveQuery("entry-2"),
                new AliveAnswer("entry-2", 1500),
                new QuotaAsk(1, QuotaAsk.NO_QUERY, claims),
                new QuotaAsk(2, 9, claims),
                new QuotaAnswer(2, List.of(new QuotaAnswer.Grant("backend/e", 1, 1000))),
                new HoldingsQuery(9, List.of("backend/e", "backend/f")),
                new FollowRequest(7, 900, Map.of("config", revision(12))),
                new FollowAnswer(7, false, 0, List.of()),
                new LoadReport(3, -9, Map.of(-5, 2), LIMITS, VERSIONS, Map.of()),
                new LoadReport(3, -9, Map.of(-5, 2), LIMITS, VERSIONS, ACCOUNTS),
                new LoadTotals(3, -9, Map.of(-5, 2, 9, 1), LIMITS, VERSIONS, Map.of()),
                new LoadTotals(3, -9, Map.of(-5, 2, 9, 1), LIMITS, VERSIONS, ACCOUNTS),
                new DataCentreLoad(
                        "entry-2", 80, true, -9, Map.of(9, 1), LIMITS, VERSIONS, Map.of()),
                new DataCentreLoad(
                        "entry-2", 80, true, -9, Map.of(9, 1), LIMITS, VERSIONS, ACCOUNTS),
                new SuspectNews(
                        List.of(
                                new CrashSuspect(-4, Map.of(-8L, 5L), 3),
                                new CrashSuspect(-8, Map.of(-8L, 5L), 0, 6))));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void messageSurvivesTheRoundTripWithAndWithoutSender(PeerMessage message) {
        for (Optional<String> sender : List.of(Optional.of("entry-1"), Optional.<String>empty())) {
            assertThat(mCodec.decode(mCodec.encode(sender, message)).get().get())
                    .isEqualTo(new PeerFrameCodec.Received(sender, message));
        }
    }

    /** The largest messages, ten of which a router gets each second while servers are full. */
    @Test
    void countsByAccountTakeAtMostTwelveBytesEach() {
        Map<Long, Integer> accounts =
                IntStream.range(0, 256)
                        .boxed()
                        .collect(
                                Collectors.toMap(
                                        n -> AccountUsage.key("chat", "account-" + n),
                                        n -> 40 + n));
        int without = totalsFrame(Map.of()).length;
        assertThat(totalsFrame(accounts).length).isAtMost(without + 8 + 256 * 12);
    }

    private byte[] totalsFrame(Map<Long, Integer> accounts) {
        return mCodec.encode(
                Optional.empty(), new LoadTotals(3, -9, Map.of(), LIMITS, VERSIONS, accounts));
    }

    private static StoreRevision revision(long number) {
        return new StoreRevision(3, number);
    }

    /** A configuration of many routes goes to every follower of a relay. */
    @Test
    void aLargeObjectIsCompressedAndSurvivesTheRoundTrip() {
        String text = "{\"prefix\":\"/orders/\",\"service\":\"orders\"}".repeat(10_000);
        KindUpdate update =
                new KindUpdate(
                        "config",
                        KindUpdate.SNAPSHOT,
                        revision(9),
                        List.of(
                                new KindUpdate.ObjectState("main", revision(9), () -> text),
                                KindUpdate.ObjectState.deleted("old")));
        byte[] frame =
                mCodec.encode(
                        Optional.empty(),
                        new FollowAnswer(1, true, 5, List.of(new KindNews(update, 300))));
        assertThat(frame.length).isLessThan(text.length() / 20);
        FollowAnswer decoded = (FollowAnswer) mCodec.decode(frame).get().get().message();
        KindNews news = decoded.kinds().get(0);
        assertThat(news.stalenessMillis()).isEqualTo(300);
        assertThat(news.update().snapshot()).isTrue();
        assertThat(news.update().revision()).isEqualTo(revision(9));
        assertThat(news.update().objects().get(0).text()).isEqualTo(text);
        assertThat(news.update().objects().get(1).deleted()).isTrue();
    }

    /** A body that inflates without end must not fill the memory. */
    @Test
    void aBodyThatInflatesBeyondTheLimitIsRefused() {
        String text = "0".repeat(9_000_000);
        KindUpdate update =
                new KindUpdate(
                        "config",
                        revision(1),
                        revision(2),
                        List.of(new KindUpdate.ObjectState("x", revision(2), () -> text)));
        byte[] frame =
                mCodec.encode(
                        Optional.empty(),
                        new FollowAnswer(1, true, 5, List.of(new KindNews(update, 0))));
        assertThat(mCodec.decode(frame).isLeft()).isTrue();
    }

    @Test
    void aTruncatedCompressedBodyIsReturnedAsAFailure() {
        byte[] frame =
                mCodec.encode(
                        Optional.empty(),
                        new FollowAnswer(
                                1,
                                true,
                                5,
                                List.of(
                                        new KindNews(
                                                new KindUpdate(
                                                        "config",
                                                        revision(1),
                                                        revision(2),
                                                        List.of(
                                                                new KindUpdate.ObjectState(
                                                                        "x",
                                                                        revision(2),
                                                                        () -> "ab".repeat(9000)))),
                                                0))));
        for (int length = 1; length < frame.length; length += 3) {
            byte[] cut = java.util.Arrays.copyOf(frame, length);
            assertThat(mCodec.decode(cut).isLeft()).isTrue();
        }
    }

    @Test
    void invalidFrameIsReturnedAsAFailure() {
        byte[] frame = "GET / HTTP/1.1".getBytes(StandardCharsets.US_ASCII);
        assertThat(mCodec.decode(frame).isLeft()).isTrue();
    }
}
