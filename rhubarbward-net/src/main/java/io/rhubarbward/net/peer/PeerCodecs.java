package io.rhubarbward.net.peer;

import java.util.List;
import java.util.stream.Stream;

/** The codecs of all messages between routers. Each core package has a range of ten kinds. */
public final class PeerCodecs {
    private PeerCodecs() {}

    /** Returns all codecs. */
    public static List<PeerCodec<?, ?>> all() {
        return Stream.of(
                        MembershipCodecs.all(),
                        QuotaCodecs.all(),
                        EngineCodecs.all(),
                        ConfigCodecs.all(),
                        RequestCodecs.all(),
                        MoveCodecs.all(),
                        RelayCodecs.all())
                .flatMap(List::stream)
                .toList();
    }
}
