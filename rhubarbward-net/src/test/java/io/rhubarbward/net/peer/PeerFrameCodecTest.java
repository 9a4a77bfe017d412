package io.rhubarbward.net.peer;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.membership.AliveAnswer;
import io.rhubarbward.membership.AliveQuery;
import io.rhubarbward.membership.Heartbeat;
import io.rhubarbward.membership.Introduction;
import io.rhubarbward.membership.PeerMessage;
import io.rhubarbward.quota.HoldingsQuery;
import io.rhubarbward.quota.QuotaAnswer;
import io.rhubarbward.quota.QuotaAsk;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

final class PeerFrameCodecTest {
    private final PeerFrameCodec mFrames = new PeerFrameCodec();

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
                new HoldingsQuery(9, List.of("backend/e", "backend/f")));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void aMessageComesOutAsItWentIn(PeerMessage message) {
        for (Optional<String> sender : List.of(Optional.of("entry-1"), Optional.<String>empty())) {
            assertThat(mFrames.decode(mFrames.encode(sender, message)).get().get())
                    .isEqualTo(new PeerFrameCodec.Received(sender, message));
        }
    }

    @Test
    void aFrameThatIsNoneIsAFailureAndNoException() {
        byte[] frame = "GET / HTTP/1.1".getBytes(StandardCharsets.US_ASCII);
        assertThat(mFrames.decode(frame).isLeft()).isTrue();
    }
}
