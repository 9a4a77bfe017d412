package io.rhubarbward.net.peer;

import io.rhubarbward.gen.quota.ClaimStruct;
import io.rhubarbward.gen.quota.GrantStruct;
import io.rhubarbward.gen.quota.HoldingsQueryStruct;
import io.rhubarbward.gen.quota.QuotaAnswerStruct;
import io.rhubarbward.gen.quota.QuotaAskStruct;
import io.rhubarbward.quota.HoldingsQuery;
import io.rhubarbward.quota.QuotaAnswer;
import io.rhubarbward.quota.QuotaAnswer.Grant;
import io.rhubarbward.quota.QuotaAsk;
import io.rhubarbward.quota.QuotaAsk.Claim;
import java.util.List;

/** The codecs of the quota slice's messages: kinds 20 to 29. */
final class QuotaCodecs {
    private static final PeerCodec<QuotaAsk, QuotaAskStruct> ASK =
            new PeerCodec<>(
                    20, QuotaAsk.class, QuotaAskStruct::new, QuotaCodecs::ask, QuotaCodecs::ask);
    private static final PeerCodec<QuotaAnswer, QuotaAnswerStruct> ANSWER =
            new PeerCodec<>(
                    21,
                    QuotaAnswer.class,
                    QuotaAnswerStruct::new,
                    QuotaCodecs::answer,
                    QuotaCodecs::answer);
    private static final PeerCodec<HoldingsQuery, HoldingsQueryStruct> HOLDINGS_QUERY =
            new PeerCodec<>(
                    22,
                    HoldingsQuery.class,
                    HoldingsQueryStruct::new,
                    message -> new HoldingsQueryStruct(message.keys(), message.number()),
                    struct -> new HoldingsQuery(struct.getNumber(), struct.getKeys()));

    private QuotaCodecs() {}

    static List<PeerCodec<?, ?>> all() {
        return List.of(ASK, ANSWER, HOLDINGS_QUERY);
    }

    private static QuotaAskStruct ask(QuotaAsk ask) {
        List<ClaimStruct> claims =
                ask.claims().stream()
                        .map(claim -> new ClaimStruct(claim.key(), claim.held(), claim.wanted()))
                        .toList();
        QuotaAskStruct struct = new QuotaAskStruct(ask.sequence(), claims);
        if (ask.answeredQuery() != QuotaAsk.NO_QUERY) {
            struct.setAnswers(ask.answeredQuery());
        }
        return struct;
    }

    private static QuotaAsk ask(QuotaAskStruct struct) {
        List<Claim> claims =
                struct.getClaims().stream()
                        .map(c -> new Claim(c.getKey(), c.getHeld(), c.getWanted()))
                        .toList();
        long answeredQuery = struct.isSetAnswers() ? struct.getAnswers() : QuotaAsk.NO_QUERY;
        return new QuotaAsk(struct.getSequence(), answeredQuery, claims);
    }

    private static QuotaAnswerStruct answer(QuotaAnswer answer) {
        List<GrantStruct> grants =
                answer.grants().stream()
                        .map(g -> new GrantStruct(g.key(), g.granted(), g.retryAfterMillis()))
                        .toList();
        return new QuotaAnswerStruct(answer.sequence(), grants);
    }

    private static QuotaAnswer answer(QuotaAnswerStruct struct) {
        List<Grant> grants =
                struct.getGrants().stream()
                        .map(g -> new Grant(g.getKey(), g.getGranted(), g.getRetryAfterMillis()))
                        .toList();
        return new QuotaAnswer(struct.getSequence(), grants);
    }
}
