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

/** The codecs of the messages about quota leases: kinds 20 to 29. */
final class QuotaCodecs {
    private static final PeerCodec<QuotaAsk, QuotaAskStruct> QUOTA_ASK =
            new PeerCodec<>(
                    20,
                    QuotaAsk.class,
                    QuotaAskStruct::new,
                    QuotaCodecs::toStruct,
                    QuotaCodecs::fromStruct);
    private static final PeerCodec<QuotaAnswer, QuotaAnswerStruct> QUOTA_ANSWER =
            new PeerCodec<>(
                    21,
                    QuotaAnswer.class,
                    QuotaAnswerStruct::new,
                    QuotaCodecs::toStruct,
                    QuotaCodecs::fromStruct);
    private static final PeerCodec<HoldingsQuery, HoldingsQueryStruct> HOLDINGS_QUERY =
            new PeerCodec<>(
                    22,
                    HoldingsQuery.class,
                    HoldingsQueryStruct::new,
                    message -> new HoldingsQueryStruct(message.keys(), message.number()),
                    struct -> new HoldingsQuery(struct.getNumber(), struct.getKeys()));

    private QuotaCodecs() {}

    static List<PeerCodec<?, ?>> all() {
        return List.of(QUOTA_ASK, QUOTA_ANSWER, HOLDINGS_QUERY);
    }

    private static QuotaAskStruct toStruct(QuotaAsk ask) {
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

    private static QuotaAsk fromStruct(QuotaAskStruct struct) {
        List<Claim> claims =
                struct.getClaims().stream()
                        .map(claim -> new Claim(claim.getKey(), claim.getHeld(), claim.getWanted()))
                        .toList();
        long answeredQuery = struct.isSetAnswers() ? struct.getAnswers() : QuotaAsk.NO_QUERY;
        return new QuotaAsk(struct.getSequence(), answeredQuery, claims);
    }

    private static QuotaAnswerStruct toStruct(QuotaAnswer answer) {
        List<GrantStruct> grants =
                answer.grants().stream()
                        .map(
                                grant ->
                                        new GrantStruct(
                                                grant.key(),
                                                grant.granted(),
                                                grant.retryAfterMillis()))
                        .toList();
        return new QuotaAnswerStruct(answer.sequence(), grants);
    }

    private static QuotaAnswer fromStruct(QuotaAnswerStruct struct) {
        List<Grant> grants =
                struct.getGrants().stream()
                        .map(
                                grant ->
                                        new Grant(
                                                grant.getKey(),
                                                grant.getGranted(),
                                                grant.getRetryAfterMillis()))
                        .toList();
        return new QuotaAnswer(struct.getSequence(), grants);
    }
}
