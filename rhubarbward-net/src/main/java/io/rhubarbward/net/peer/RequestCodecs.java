package io.rhubarbward.net.peer;

import io.rhubarbward.gen.request.SuspectNoticesStruct;
import io.rhubarbward.request.quarantine.SuspectNotices;
import java.util.List;

/** The codecs of the messages about requests: kinds 50 to 59. */
final class RequestCodecs {
    private static final PeerCodec<SuspectNotices, SuspectNoticesStruct> SUSPECT_NOTICES =
            new PeerCodec<>(
                    50,
                    SuspectNotices.class,
                    SuspectNoticesStruct::new,
                    SuspectStructs::toStruct,
                    SuspectStructs::fromStruct);

    private RequestCodecs() {}

    static List<PeerCodec<?, ?>> all() {
        return List.of(SUSPECT_NOTICES);
    }
}
