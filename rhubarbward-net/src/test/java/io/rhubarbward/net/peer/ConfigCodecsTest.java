package io.rhubarbward.net.peer;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.config.ConfigMessage;
import io.rhubarbward.config.Sha256;
import io.rhubarbward.config.SiteHead;
import java.util.List;
import java.util.stream.Stream;
import org.apache.thrift.TException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

final class ConfigCodecsTest {
    private static final String FIRST = Sha256.of("first");
    private static final String SECOND = Sha256.of("second");

    static Stream<ConfigMessage> messages() {
        SiteHead head = new SiteHead(7, List.of(List.of(FIRST, SECOND), List.of(), List.of(FIRST)));
        return Stream.of(
                new ConfigMessage.Offer(7),
                new ConfigMessage.HeadRequest("lima", 6, "10.0.1.1:8082"),
                new ConfigMessage.HeadAnswer(head),
                new ConfigMessage.ChunkRequest(List.of(SECOND), "10.0.1.1:8082"),
                new ConfigMessage.ChunkAnswer(List.of("{\"site\":\"Rímac\"}")));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void messageSurvivesTheRoundTrip(ConfigMessage message) throws TException {
        PeerCodec<?, ?> codec =
                PeerCodecs.all().stream()
                        .filter(candidate -> candidate.type().equals(message.getClass()))
                        .findFirst()
                        .orElseThrow();
        assertThat(codec.decode(codec.encode(message)).get()).isEqualTo(message);
    }
}
