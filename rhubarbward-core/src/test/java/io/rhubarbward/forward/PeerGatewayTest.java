package io.rhubarbward.forward;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.catalog.RouteKind;
import io.rhubarbward.placement.TrackedServer;
import io.rhubarbward.reach.ReachState;
import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.HeaderField;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.testing.Catalogs;
import io.rhubarbward.testing.RecordingResponse;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which requests of other routers a router serves, and how. */
final class PeerGatewayTest {
    private final ForwardFixture mFixture =
            new ForwardFixture(
                    Catalogs.route("order", "/order/", RouteKind.NON_IDEMPOTENT),
                    Catalogs.route("status", "/status/", RouteKind.IDEMPOTENT));
    private boolean mTakesRequests = true;
    private final PeerGateway mGateway =
            new PeerGateway(
                    mFixture.mService,
                    mFixture.mContext,
                    () -> mTakesRequests,
                    () -> 8,
                    Set.of("front-9")::contains);

    private RecordingResponse forward(String path, String router, String attemptsLeft) {
        RecordingResponse response = new RecordingResponse();
        mGateway.serve(
                new CallerRequest(
                        "POST",
                        path,
                        ForwardFixture.headers("r-1")
                                .with("router-forwarded-by", router)
                                .with("router-catalog-version", "8")
                                .with("router-attempts-left", attemptsLeft),
                        ByteBuffer.allocate(0)),
                response);
        return response;
    }

    private RecordingResponse query() {
        RecordingResponse response = new RecordingResponse();
        mGateway.serve(
                new CallerRequest(
                        "GET",
                        "/",
                        HeaderFields.of("router-query-by", "front-9"),
                        ByteBuffer.allocate(0)),
                response);
        return response;
    }

    @Test
    void aForwardedRequestIsServedLikeACallersWithoutTheRoutersFields() {
        RecordingResponse response = forward("/order/1", "front-9", "2");
        HeaderFields sent = mFixture.mBackends.last().request().headers();
        assertThat(sent.fields().stream().anyMatch(field -> field.name().startsWith("router-")))
                .isFalse();
        assertThat(sent.first("account")).isEqualTo(Optional.of("acme"));
        mFixture.answer(200, "r-1").complete();
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.headers().first("router-refusal")).isEmpty();
    }

    @Test
    void onlyListedRoutersAreServed() {
        assertThat(forward("/order/1", "stranger", "2").headers().first("router-refusal"))
                .isEqualTo(Optional.of("not-ready 400 not-run"));
        assertThat(mFixture.mBackends.sent()).isEmpty();
    }

    @Test
    void aRefusalSaysWhetherTheRequestMayHaveRun() {
        RecordingResponse notRun = forward("/order/1", "front-9", "2");
        mFixture.answer(503, "r-1", "not-run");
        mFixture.answer(503, "r-1", "not-run");
        assertThat(notRun.headers().first("router-refusal").get()).endsWith("not-run");
        RecordingResponse lost = forward("/order/1", "front-9", "2");
        mFixture.mBackends.last().fail(BackendFailure.CONNECTION_LOST);
        assertThat(lost.headers().first("router-refusal"))
                .isEqualTo(Optional.of("backend-lost 0 unknown"));
    }

    // Guards against a refusal that the other router takes for that of a later request.
    @Test
    void eachRefusalNamesItsAttempt() {
        RecordingResponse refused = forward("/order/1", "front-9", "2");
        mFixture.mBackends.last().fail(BackendFailure.CONNECTION_LOST);
        assertThat(refused.headers().first("id")).isEqualTo(Optional.of("r-1"));
        mTakesRequests = false;
        assertThat(forward("/order/1", "front-9", "2").headers().first("id"))
                .isEqualTo(Optional.of("r-1"));
    }

    // Guards against an answer to a query that the other router takes for that of a later one.
    @Test
    void theAnswerToAQueryNamesIt() {
        RecordingResponse response = new RecordingResponse();
        mGateway.serve(
                new CallerRequest(
                        "GET",
                        "/",
                        HeaderFields.of("router-query-by", "front-9").with("id", "q-1"),
                        ByteBuffer.allocate(0)),
                response);
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.headers().first("id")).isEqualTo(Optional.of("q-1"));
    }

    @Test
    void aQueryOfAnEarlierBuildHasNoIdAndIsAnswered() {
        assertThat(query().status()).isEqualTo(200);
        assertThat(query().headers().first("id")).isEmpty();
    }

    // Guards against a router that goes on to use a server whose farewell it passed to a caller.
    @Test
    void anAnswerOfAServerThatLeavesNamesTheServer() {
        RecordingResponse response = forward("/order/1", "front-9", "2");
        String name = mFixture.mBackends.last().server();
        TrackedServer server =
                mFixture.mTable.servers("orders").stream()
                        .filter(listed -> listed.server().name().equals(name))
                        .findFirst()
                        .orElseThrow();
        mFixture.answer(200, "r-1", "leaving", "router-server").complete();
        assertThat(response.headers().fields().stream().map(HeaderField::name).toList())
                .containsExactly("id", "leaving", "router-server");
        assertThat(response.headers().first("router-server"))
                .isEqualTo(Optional.of(Long.toString(server.incarnation())));
    }

    @Test
    void anAnswerOfAServerThatStaysNamesNoServer() {
        RecordingResponse response = forward("/order/1", "front-9", "2");
        mFixture.answer(200, "r-1", "router-server").complete();
        assertThat(response.headers().first("router-server")).isEmpty();
    }

    @Test
    void theAttemptsThatWereUsedBeforeCount() {
        RecordingResponse response = forward("/status/1", "front-9", "1");
        mFixture.mBackends.last().fail(BackendFailure.CONNECTION_LOST);
        assertThat(mFixture.mBackends.sent()).hasSize(1);
        assertThat(response.status()).isEqualTo(502);
    }

    @Test
    void aRouterThatCannotHelpSaysSoAndTakesNothing() {
        assertThat(query().status()).isEqualTo(200);
        mTakesRequests = false;
        assertThat(query().status()).isEqualTo(503);
        assertThat(forward("/order/1", "front-9", "2").headers().first("router-refusal"))
                .isEqualTo(Optional.of("not-ready 400 not-run"));
        mTakesRequests = true;
        mFixture.mReachState = ReachState.SUSPECTED;
        assertThat(query().status()).isEqualTo(503);
        mFixture.mReachState = ReachState.CONNECTED;
        mFixture.mLoopLagMillis = 300;
        assertThat(query().status()).isEqualTo(503);
        assertThat(mFixture.mBackends.sent()).isEmpty();
    }

    // Guards against a configuration that goes back for the callers of a cut-off router.
    @Test
    void aRequestThatNeedsANewerCatalogueIsDeclined() {
        RecordingResponse response = new RecordingResponse();
        mGateway.serve(
                new CallerRequest(
                        "POST",
                        "/order/1",
                        ForwardFixture.headers("r-1")
                                .with("router-forwarded-by", "front-9")
                                .with("router-catalog-version", "9")
                                .with("router-attempts-left", "1"),
                        ByteBuffer.allocate(0)),
                response);
        assertThat(response.status()).isEqualTo(503);
        assertThat(mFixture.mBackends.sent()).isEmpty();
    }
}
