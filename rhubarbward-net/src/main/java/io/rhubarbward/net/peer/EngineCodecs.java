package io.rhubarbward.net.peer;

import io.rhubarbward.engine.LoadShare;
import io.rhubarbward.engine.SharedLoad;
import io.rhubarbward.gen.engine.LoadShareStruct;
import io.rhubarbward.gen.engine.SharedLoadStruct;
import java.util.List;

/** The codecs of the messages about engine load: kinds 30 to 39. */
final class EngineCodecs {
    static final PeerCodec<LoadShare, LoadShareStruct> LOAD_SHARE =
            new PeerCodec<>(
                    30,
                    LoadShare.class,
                    LoadShareStruct::new,
                    share ->
                            new LoadShareStruct(
                                    share.loads().stream().map(EngineCodecs::toStruct).toList()),
                    struct ->
                            new LoadShare(
                                    struct.getLoads().stream()
                                            .map(EngineCodecs::fromStruct)
                                            .toList()));

    private EngineCodecs() {}

    static List<PeerCodec<?, ?>> all() {
        return List.of(LOAD_SHARE);
    }

    private static SharedLoadStruct toStruct(SharedLoad load) {
        SharedLoadStruct struct =
                new SharedLoadStruct(
                        load.server(),
                        load.incarnation(),
                        load.running(),
                        load.waiting(),
                        load.served(),
                        load.ageMillis());
        if (load.rampStart() != 0) {
            struct.setRampStart(load.rampStart());
        }
        if (load.leaving()) {
            struct.setLeaving(true);
        }
        return struct;
    }

    private static SharedLoad fromStruct(SharedLoadStruct struct) {
        return new SharedLoad(
                struct.getServer(),
                struct.getIncarnation(),
                struct.getRunning(),
                struct.getWaiting(),
                struct.getServed(),
                struct.isSetRampStart() ? struct.getRampStart() : 0,
                struct.getAgeMillis(),
                struct.isSetLeaving() && struct.isLeaving());
    }
}
