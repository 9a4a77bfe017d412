package io.rhubarbward.forward;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.catalog.RouteKind;
import io.rhubarbward.placement.TrackedServer;
import io.rhubarbward.reach.ReachState;
import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.testing.Catalogs;
import io.rhubarbward.testing.FakeBackends;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What holds for a request on its way through another router. */
final class PeerForwardingTest {
    private final ForwardFixture mFixture =
            new ForwardFixture(
                    Catalogs.route("order", "/order/", RouteKind.NON_IDEMPOTENT),
                    Catalogs.route("status", "/status/", RouteKind.IDEMPOTENT),
                    Catalogs.route("chat", "/chat/", RouteKind.STREAMING));

    private FakeBackends.Sent last() {
        return mFixture.mBackends.last();
    }

    private static HeaderFields refusal(String value) {
        return HeaderFields.of("router-refusal", value);
    }

    @Test
    void theRouterOfTheSameDataCentreIsPreferredAndGetsTheCallersRequest() {
        mFixture.cutOff("front-2", "front-3");
        ForwardFixture.PendingRequest pending = mFixture.send("/order/1");
        HeaderFields headers = last().request().headers();
        assertThat(last().server()).isEqualTo("front-2");
        assertThat(last().request().server().address()).isEqualTo("front-2:2");
        assertThat(headers.first("id")).isEqualTo(Optional.of("r-1"));
        assertThat(headers.first("key")).isEqualTo(Optional.of(Catalogs.API_KEY));
        assertThat(headers.first("router-forwarded-by")).isEqualTo(Optional.of("front-1"));
        // The higher of this router's version and that of the routers it asked.
        assertThat(headers.first("router-catalog-version")).isEqualTo(Optional.of("9"));
        last().head(200, HeaderFields.of("id", "r-1")).part("whole").complete();
        assertThat(pending.response().status()).isEqualTo(200);
        assertThat(pending.response().body()).isEqualTo("whole");
        assertThat(pending.response().finished()).isTrue();
    }

    @Test
    void theDeadlineIsPassedOnLessWhatWasUsed() {
        mFixture.send("/status/1");
        mFixture.mTimers.advance(Duration.ofMillis(300));
        last().connecting();
        mFixture.cutOff("front-2");
        assertThat(last().request().headers().first("patience")).isEqualTo(Optional.of("700"));
    }

    @Test
    void aRequestThatMayRunAgainMovesToAnotherRouterWhenItsConnectionIsSilent() {
        ForwardFixture.PendingRequest pending = mFixture.send("/status/1");
        FakeBackends.Sent silent = last();
        mFixture.cutOff("front-2");
        assertThat(silent.cancelled()).isTrue();
        assertThat(last().server()).isEqualTo("front-2");
        assertThat(last().request().headers().first("router-attempts-left"))
                .isEqualTo(Optional.of("1"));
        last().head(200, HeaderFields.of("id", "r-1")).complete();
        assertThat(pending.response().status()).isEqualTo(200);
    }

    // It may have run at the server that is out of reach.
    @ParameterizedTest
    @ValueSource(strings = {"/order/1", "/chat/1"})
    void aRequestThatMayRunOnceStaysWhereItWasSent(String path) {
        mFixture.send(path);
        FakeBackends.Sent sent = last();
        mFixture.cutOff("front-2");
        assertThat(sent.cancelled()).isFalse();
        assertThat(last().request().headers().first("router-query-by")).isPresent();
    }

    @ParameterizedTest
    @ValueSource(strings = {"/order/1", "/chat/1"})
    void aRequestThatWasNotSentMovesWhateverItsKind(String path) {
        mFixture.send(path);
        FakeBackends.Sent connecting = last().connecting();
        mFixture.cutOff("front-2");
        assertThat(connecting.cancelled()).isTrue();
        assertThat(last().request().headers().first("router-forwarded-by")).isPresent();
    }

    @Test
    void aRouterThatCannotServeIsReplacedByAnother() {
        mFixture.cutOff("front-2", "front-3");
        mFixture.send("/order/1");
        last().head(503, refusal("not-ready 400 not-run"));
        assertThat(last().server()).isEqualTo("front-3");
    }

    @Test
    void aRouterThatIsNotReachedIsReplacedByAnother() {
        mFixture.cutOff("front-2", "front-3");
        mFixture.send("/order/1");
        last().fail(BackendFailure.NOT_CONNECTED);
        assertThat(last().server()).isEqualTo("front-3");
    }

    @Test
    void aRefusalOfTheOtherRouterReachesTheCallerWithItsRetryTime() {
        mFixture.cutOff("front-2", "front-3");
        ForwardFixture.PendingRequest pending = mFixture.send("/order/1");
        last().head(503, refusal("overloaded 1000 not-run"));
        assertThat(pending.response().status()).isEqualTo(503);
        assertThat(pending.response().headers().first("retry-after-ms"))
                .isEqualTo(Optional.of("1000"));
    }

    // Guards against a request that ran, or runs, and is refused as not run or sent again.
    @ParameterizedTest
    @ValueSource(strings = {"overloaded 1000 not-run", "not-ready 400 not-run"})
    void aRefusalThatNamesAnotherAttemptProvesNothing(String refusal) {
        mFixture.cutOff("front-2", "front-3");
        ForwardFixture.PendingRequest pending = mFixture.send("/order/1");
        FakeBackends.Sent sent = last().head(503, refusal(refusal).with("id", "r-0"));
        assertThat(pending.response().status()).isEqualTo(502);
        assertThat(sent.cancelled()).isTrue();
        assertThat(last()).isSameInstanceAs(sent);
    }

    // Guards against an earlier request's refusal that is taken for the one of this request.
    @ParameterizedTest
    @ValueSource(strings = {"overloaded 1000 not-run", "not-ready 400 not-run"})
    void aRefusalThatNamesNoAttemptProvesNothingOnAKeptConnection(String refusal) {
        mFixture.mBackends.keepConnections();
        mFixture.cutOff("front-2", "front-3");
        ForwardFixture.PendingRequest pending = mFixture.send("/order/1");
        FakeBackends.Sent sent = last().head(503, refusal(refusal));
        assertThat(pending.response().status()).isEqualTo(502);
        assertThat(sent.cancelled()).isTrue();
        assertThat(last()).isSameInstanceAs(sent);
    }

    @Test
    void aRefusalThatNamesThisAttemptIsTakenOnAKeptConnection() {
        mFixture.mBackends.keepConnections();
        mFixture.cutOff("front-2", "front-3");
        ForwardFixture.PendingRequest pending = mFixture.send("/order/1");
        last().head(503, refusal("not-ready 400 not-run").with("id", "r-1"));
        assertThat(last().server()).isEqualTo("front-3");
        last().head(503, refusal("overloaded 1000 not-run").with("id", "r-1"));
        assertThat(pending.response().status()).isEqualTo(503);
    }

    // A promise that the request did not run must be true behind two routers too.
    @ParameterizedTest
    @CsvSource({"backend-lost 0 unknown, 502", "deadline-exceeded 0 unknown, 504", "odd, 502"})
    void aRequestThatMayHaveRunIsNotSaidToHaveNotRun(String refusal, int status) {
        mFixture.cutOff("front-2", "front-3");
        ForwardFixture.PendingRequest pending = mFixture.send("/order/1");
        last().head(502, refusal(refusal));
        assertThat(pending.response().status()).isEqualTo(status);
        assertThat(last().server()).isEqualTo("front-2");
    }

    @Test
    void aRouterThatDiesBeforeItsAnswerLeavesTheOutcomeOpen() {
        mFixture.cutOff("front-2", "front-3");
        ForwardFixture.PendingRequest pending = mFixture.send("/order/1");
        last().fail(BackendFailure.CONNECTION_LOST);
        assertThat(pending.response().status()).isEqualTo(502);
    }

    // Guards against a broken status that reaches the caller through another router.
    @ParameterizedTest
    @ValueSource(ints = {0, 99, 100, 101, 199, 600, 999})
    void anInvalidStatusOfAnotherRouterLeavesTheOutcomeOpen(int status) {
        mFixture.cutOff("front-2", "front-3");
        ForwardFixture.PendingRequest pending = mFixture.send("/order/1");
        FakeBackends.Sent sent = last().head(status, HeaderFields.of("id", "r-1"));
        assertThat(pending.response().status()).isEqualTo(502);
        assertThat(sent.cancelled()).isTrue();
        assertThat(last()).isSameInstanceAs(sent);
    }

    @Test
    void aRouterThatDiesInTheMiddleOfAnAnswerCutsIt() {
        mFixture.cutOff("front-2");
        ForwardFixture.PendingRequest pending = mFixture.send("/chat/1");
        last().head(200, HeaderFields.of("id", "r-1")).part("data: a\n\n");
        last().fail(BackendFailure.CONNECTION_LOST);
        assertThat(pending.response().aborted()).isTrue();
        assertThat(pending.response().finished()).isFalse();
    }

    @Test
    void anAnswerToAnotherRequestDoesNotReachTheCaller() {
        mFixture.cutOff("front-2");
        ForwardFixture.PendingRequest pending = mFixture.send("/order/1");
        last().head(200, HeaderFields.of("id", "other"));
        assertThat(pending.response().status()).isEqualTo(502);
    }

    @Test
    void aCallerWhoReadsSlowlyOrLeavesIsFeltByTheOtherRouter() {
        mFixture.cutOff("front-2");
        ForwardFixture.PendingRequest pending = mFixture.send("/chat/1");
        pending.listener().onWritable(false);
        assertThat(last().paused()).isTrue();
        pending.listener().onWritable(true);
        assertThat(last().paused()).isFalse();
        pending.listener().onGone();
        assertThat(last().cancelled()).isTrue();
    }

    // Guards against revoked keys that go on working at a router that is cut off.
    @Test
    void noKeyIsTrustedForAnotherRouterWhileTheCatalogueIsOutdated() {
        mFixture.cutOff("front-2");
        mFixture.mCatalogAgeMillis = 4700;
        int sent = mFixture.mBackends.sent().size();
        ForwardFixture.PendingRequest pending = mFixture.send("/order/1");
        assertThat(pending.response().status()).isEqualTo(503);
        assertThat(mFixture.mBackends.sent()).hasSize(sent);
    }

    // Guards against a late answer to an earlier query that counts as that of the next one.
    @Test
    void eachQueryHasAnIdOfItsOwn() {
        mFixture.cutOff("front-2", "front-3");
        mFixture.mTimers.advance(Duration.ofMillis(200));
        List<Optional<String>> ids =
                mFixture.mBackends.sent().stream()
                        .map(query -> query.request().headers().first("id"))
                        .toList();
        assertThat(ids.size()).isAtLeast(4);
        assertThat(ids).doesNotContain(Optional.empty());
        assertThat(ids).containsNoDuplicates();
    }

    // Guards against requests to a server of which this router told a caller that it leaves.
    @Test
    void aServerThatLeavesIsKnownFromTheAnswerThatAnotherRouterPassesOn() {
        TrackedServer leaving = mFixture.mTable.servers("orders").get(0);
        mFixture.cutOff("front-2");
        ForwardFixture.PendingRequest pending = mFixture.send("/order/1");
        last().head(
                        200,
                        HeaderFields.of("id", "r-1")
                                .with("leaving", "1")
                                .with("router-server", Long.toString(leaving.incarnation())))
                .complete();
        assertThat(pending.response().finished()).isTrue();
        assertThat(
                        mFixture.mTable.servers("orders").stream()
                                .filter(TrackedServer::leaving)
                                .toList())
                .containsExactly(leaving);
        assertThat(pending.response().headers().first("router-server")).isEmpty();
    }

    @Test
    void theServersAreUsedAgainOnceTheyAreReached() {
        mFixture.cutOff("front-2");
        mFixture.mReachState = ReachState.CONNECTED;
        mFixture.mPeers.onReachState(ReachState.CONNECTED);
        mFixture.send("/order/1");
        assertThat(last().server()).startsWith("o-");
        int queries = mFixture.mBackends.sent().size();
        mFixture.mTimers.advance(Duration.ofSeconds(5));
        assertThat(mFixture.mBackends.sent()).hasSize(queries);
    }
}
