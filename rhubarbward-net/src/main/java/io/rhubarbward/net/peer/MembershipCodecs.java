package io.rhubarbward.net.peer;

import io.rhubarbward.gen.membership.AliveAnswerStruct;
import io.rhubarbward.gen.membership.AliveQueryStruct;
import io.rhubarbward.gen.membership.HeartbeatStruct;
import io.rhubarbward.gen.membership.IntroductionStruct;
import io.rhubarbward.membership.AliveAnswer;
import io.rhubarbward.membership.AliveQuery;
import io.rhubarbward.membership.Heartbeat;
import io.rhubarbward.membership.Introduction;
import java.util.List;

/** The codecs of the membership messages: kinds 10 to 19. */
final class MembershipCodecs {
    private static final PeerCodec<Heartbeat, HeartbeatStruct> HEARTBEAT =
            new PeerCodec<>(
                    10,
                    Heartbeat.class,
                    HeartbeatStruct::new,
                    message -> new HeartbeatStruct(message.incarnation(), message.generation()),
                    struct -> new Heartbeat(struct.getIncarnation(), struct.getGeneration()));
    private static final PeerCodec<Introduction, IntroductionStruct> INTRODUCTION =
            new PeerCodec<>(
                    11,
                    Introduction.class,
                    IntroductionStruct::new,
                    message ->
                            new IntroductionStruct(
                                    message.dataCentre(), message.address(), message.incarnation()),
                    struct ->
                            new Introduction(
                                    struct.getDataCentre(),
                                    struct.getAddress(),
                                    struct.getIncarnation()));
    private static final PeerCodec<AliveQuery, AliveQueryStruct> ALIVE_QUERY =
            new PeerCodec<>(
                    12,
                    AliveQuery.class,
                    AliveQueryStruct::new,
                    message -> new AliveQueryStruct(message.vm()),
                    struct -> new AliveQuery(struct.getVm()));
    private static final PeerCodec<AliveAnswer, AliveAnswerStruct> ALIVE_ANSWER =
            new PeerCodec<>(
                    13,
                    AliveAnswer.class,
                    AliveAnswerStruct::new,
                    message -> new AliveAnswerStruct(message.vm(), message.ageMillis()),
                    struct -> new AliveAnswer(struct.getVm(), struct.getAgeMillis()));

    private MembershipCodecs() {}

    static List<PeerCodec<?, ?>> all() {
        return List.of(HEARTBEAT, INTRODUCTION, ALIVE_QUERY, ALIVE_ANSWER);
    }
}
