package io.rhubarbward.net.peer;

import io.rhubarbward.gen.membership.HeartbeatStruct;
import io.rhubarbward.membership.Heartbeat;
import java.util.List;
import java.util.stream.Stream;

/** The codecs of all messages between routers. Kinds are given by slice: ten each. */
public final class PeerCodecs {
    // Membership: 10 to 19.
    private static final PeerCodec<Heartbeat, HeartbeatStruct> HEARTBEAT =
            new PeerCodec<>(
                    10,
                    Heartbeat.class,
                    HeartbeatStruct::new,
                    message -> new HeartbeatStruct(message.incarnation(), message.generation()),
                    struct -> new Heartbeat(struct.getIncarnation(), struct.getGeneration()));

    private PeerCodecs() {}

    /** Returns all codecs. */
    public static List<PeerCodec<?, ?>> all() {
        return Stream.<List<PeerCodec<?, ?>>>of(
                        List.of(HEARTBEAT), MoveCodecs.all(), ConfigCodecs.all())
                .flatMap(List::stream)
                .toList();
    }
}
