package io.rhubarbward.forward;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.catalog.KeyedAccount;
import io.rhubarbward.catalog.Route;
import io.rhubarbward.catalog.RouteKind;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.forward.ForwardFixture.PendingRequest;
import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.request.ConnectionRefusal;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.testing.Catalogs;
import io.rhubarbward.testing.FakeBackends;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

final class ForwardingTest {
    private static final Route ORDER = Catalogs.route("order", "/order/", RouteKind.NON_IDEMPOTENT);

    private final ForwardFixture mFixture =
            new ForwardFixture(
                    ORDER,
                    Catalogs.route("status", "/status/", RouteKind.IDEMPOTENT),
                    Catalogs.route("chat", "/chat/", RouteKind.STREAMING));

    private int sends() {
        return mFixture.mBackends.sent().size();
    }

    @Test
    void forwardsTheCompleteAnswer() {
        PendingRequest request = mFixture.send("/order/7?x=%20y");
        assertThat(mFixture.mBackends.last().request().target()).isEqualTo("/order/7?x=%20y");
        mFixture.answer(200, "r-1").part("ab").part("c").complete();
        assertThat(request.response().status()).isEqualTo(200);
        assertThat(request.response().body()).isEqualTo("abc");
        assertThat(request.response().finished()).isTrue();
        assertThat(mFixture.mService.openRequests()).isEqualTo(0);
    }

    /** Without it, the log does not tell whose answer a caller got, and on which connection. */
    @Test
    void theEndOfARequestTellsWhoAnsweredAndOnWhichConnection() {
        mFixture.mBackends.keepConnections();
        mFixture.send("/order/7");
        mFixture.answer(500, "r-1").complete();
        assertThat(mFixture.mEvents.lastFields(LogEvent.REQUEST_ENDED))
                .containsAtLeast(
                        EventField.of("answeredBy", mFixture.mBackends.last().server()),
                        EventField.of("status", 500),
                        EventField.of("keptConnection", true));
    }

    /** Without it, the log does not tell which connection carried a refusal that was believed. */
    @Test
    void aDeclinedSendTellsTheAddressAndTheConnection() {
        mFixture.mBackends.keepConnections();
        mFixture.send("/order/7");
        FakeBackends.Sent sent = mFixture.answer(503, "r-1", "not-run");
        assertThat(mFixture.mEvents.lastFields(LogEvent.REQUEST_DECLINED))
                .containsAtLeast(
                        EventField.of("id", "r-1"),
                        EventField.of("server", sent.server()),
                        EventField.of("address", sent.request().server().address()),
                        EventField.of("status", 503),
                        EventField.of("believed", true),
                        EventField.of("namesId", true),
                        EventField.of("earlierRequests", 1),
                        EventField.of("afterMs", 0L));
    }

    @Test
    void sendsInstanceRemainingTimeAndAccountButNotTheKey() {
        mFixture.send("/order/7");
        HeaderFields headers = mFixture.mBackends.last().request().headers();
        assertThat(headers.first("instance")).hasValue(mFixture.mBackends.last().server());
        assertThat(headers.first("remaining")).hasValue("1000");
        assertThat(headers.first("account")).hasValue("acme");
        assertThat(headers.first("key")).isEmpty();
    }

    @Test
    void aNonIdempotentRequestThatMayHaveRunIsNotRetriedNorReportedAsNotRun() {
        PendingRequest request = mFixture.send("/order/7");
        mFixture.mBackends.last().fail(BackendFailure.CONNECTION_LOST);
        assertThat(sends()).isEqualTo(1);
        assertThat(request.response().status()).isEqualTo(502);
        assertThat(request.response().headers().first("retry-after-ms")).isEmpty();
    }

    @Test
    void aNonIdempotentRequestThatWasNotSentIsRetriedAtAnotherServer() {
        mFixture.send("/order/7");
        String firstServer = mFixture.mBackends.last().server();
        mFixture.mBackends.last().fail(BackendFailure.NOT_CONNECTED);
        assertThat(sends()).isEqualTo(2);
        assertThat(mFixture.mBackends.last().server()).isNotEqualTo(firstServer);
    }

    @Test
    void aRequestThatEveryServerDeclinedIsRefusedAsNotRun() {
        PendingRequest request = mFixture.send("/order/7");
        mFixture.answer(503, "r-1", "not-run");
        mFixture.answer(503, "r-1", "not-run");
        assertThat(request.response().status()).isEqualTo(503);
        assertThat(request.response().headers().first("retry-after-ms")).isPresent();
    }

    /** A 503 without the statement that the request did not run does not prove that it did not. */
    /** Guards against a declined answer without end, which would be read for good. */
    @Test
    void aDeclinedAnswerThatIsLongOrTakesLongClosesItsConnection() {
        mFixture.send("/order/7");
        FakeBackends.Sent longBody = mFixture.answer(503, "r-1", "not-run");
        longBody.part("x".repeat(65_536));
        assertThat(longBody.cancelled()).isFalse();
        longBody.part("x");
        assertThat(longBody.cancelled()).isTrue();
        FakeBackends.Sent slowBody = mFixture.answer(503, "r-1", "not-run");
        mFixture.mTimers.advance(Duration.ofMillis(1999));
        slowBody.part("x");
        assertThat(slowBody.cancelled()).isFalse();
        mFixture.mTimers.advance(Duration.ofMillis(1));
        assertThat(slowBody.cancelled()).isTrue();
    }

    @Test
    void aDeclinedAnswerThatEndsKeepsItsConnection() {
        mFixture.send("/order/7");
        FakeBackends.Sent declined = mFixture.answer(503, "r-1", "not-run");
        declined.part("busy").complete();
        mFixture.mTimers.advance(Duration.ofSeconds(3));
        assertThat(declined.cancelled()).isFalse();
    }

    @Test
    void aNotRunStatusWithoutTheServersStatementIsNotForwarded() {
        PendingRequest request = mFixture.send("/order/7");
        mFixture.answer(503, "r-1");
        assertThat(request.response().status()).isEqualTo(502);
        assertThat(sends()).isEqualTo(1);
    }

    @Test
    void anIdempotentRequestIsRetriedOnceAfterAFailure() {
        PendingRequest request = mFixture.send("/status/7");
        mFixture.mBackends.last().fail(BackendFailure.CONNECTION_LOST);
        assertThat(sends()).isEqualTo(2);
        mFixture.answer(500, "r-1").part("sorry").complete();
        assertThat(request.response().status()).isEqualTo(500);
        assertThat(request.response().body()).isEqualTo("sorry");
        assertThat(sends()).isEqualTo(2);
    }

    @Test
    void anAnswerToAnotherAttemptIsNotForwarded() {
        PendingRequest request = mFixture.send("/order/7");
        FakeBackends.Sent sent = mFixture.answer(200, "r-0");
        assertThat(request.response().status()).isEqualTo(502);
        assertThat(sent.cancelled()).isTrue();
    }

    @Test
    void anAnswerWithoutTheServersSignatureIsNotForwarded() {
        PendingRequest request = mFixture.send("/order/7");
        mFixture.answer(200, "r-1", "forged");
        assertThat(request.response().status()).isEqualTo(502);
    }

    @Test
    void anIncompleteAnswerAbortsTheCallersConnection() {
        PendingRequest request = mFixture.send("/chat/7");
        mFixture.answer(200, "r-1").part("event").fail(BackendFailure.CONNECTION_LOST);
        assertThat(request.response().aborted()).isTrue();
        assertThat(request.response().finished()).isFalse();
    }

    @Test
    void aCallersDisconnectCancelsTheBackendCall() {
        PendingRequest request = mFixture.send("/chat/7");
        request.listener().onGone();
        assertThat(mFixture.mBackends.last().cancelled()).isTrue();
        assertThat(mFixture.mService.openRequests()).isEqualTo(0);
    }

    /** Guards against a log in which a caller that was cut off looks like one that left. */
    @Test
    void theEndOfARequestTellsWhetherTheCallerLeftOrWasCutOff() {
        PendingRequest left = mFixture.send("/chat/7");
        left.listener().onGone();
        assertThat(mFixture.mEvents.lastFields(LogEvent.REQUEST_ENDED))
                .contains(EventField.of("outcome", "caller-gone"));
        PendingRequest cutOff = mFixture.send("/chat/8");
        cutOff.response().closeFor(ConnectionRefusal.SLOW_READER);
        cutOff.listener().onGone();
        assertThat(mFixture.mEvents.lastFields(LogEvent.REQUEST_ENDED))
                .contains(EventField.of("outcome", "connection-closed: slow-reader"));
    }

    @Test
    void refusesAtTheCallersDeadline() {
        PendingRequest request = mFixture.send("/order/7");
        mFixture.mTimers.advance(Duration.ofMillis(999));
        assertThat(request.response().ended()).isFalse();
        mFixture.mTimers.advance(Duration.ofMillis(1));
        assertThat(request.response().status()).isEqualTo(504);
        assertThat(mFixture.mBackends.last().cancelled()).isTrue();
    }

    @Test
    void theRoutesTimeoutAppliesWhenTheCallerWouldWaitLonger() {
        PendingRequest request =
                mFixture.send(
                        "/order/7",
                        ForwardFixture.headers("r-1")
                                .without(field -> field.name().equals("patience"))
                                .with("patience", "9000"));
        assertThat(mFixture.mBackends.last().request().headers().first("remaining"))
                .hasValue("2000");
        mFixture.mTimers.advance(Duration.ofSeconds(2));
        assertThat(request.response().status()).isEqualTo(504);
    }

    @Test
    void refusesKeysWhileTheCatalogueIsOutdatedOrTheClockJumped() {
        mFixture.mCatalogAgeMillis = 4700;
        assertThat(mFixture.send("/order/7").response().status()).isEqualTo(503);
        mFixture.mCatalogAgeMillis = 0;
        mFixture.mClockJumped = true;
        assertThat(mFixture.send("/order/7").response().status()).isEqualTo(503);
        assertThat(sends()).isEqualTo(0);
    }

    @Test
    void checksTheCataloguesFreshnessAgainAtEachSend() {
        PendingRequest request = mFixture.send("/order/7");
        mFixture.mCatalogAgeMillis = 4700;
        mFixture.mBackends.last().fail(BackendFailure.NOT_CONNECTED);
        assertThat(sends()).isEqualTo(1);
        assertThat(request.response().status()).isEqualTo(503);
    }

    @Test
    void refusesUnknownPathsAndKeysOnlyWhileTheCatalogueIsCurrent() {
        assertThat(mFixture.send("/nowhere/").response().status()).isEqualTo(404);
        HeaderFields withUnknownKey =
                ForwardFixture.headers("r-1")
                        .without(field -> field.name().equals("key"))
                        .with("key", "unknown");
        assertThat(mFixture.send("/order/7", withUnknownKey).response().status()).isEqualTo(401);
        mFixture.mCatalogAgeMillis = 4500;
        assertThat(mFixture.send("/nowhere/").response().status()).isEqualTo(503);
    }

    /** Guards against open routes once the last API key is taken away. */
    @Test
    void withoutAnyKeyLeftAllKeysAreRefused() {
        mFixture.publish(
                Catalogs.withAccounts(
                        2,
                        Optional.of(
                                List.of(new KeyedAccount("acme", List.of(), OptionalInt.empty()))),
                        ORDER));
        assertThat(mFixture.send("/order/7").response().status()).isEqualTo(401);
        mFixture.publish(Catalogs.withAccounts(3, Optional.of(List.of()), ORDER));
        assertThat(mFixture.send("/order/7").response().status()).isEqualTo(401);
        assertThat(sends()).isEqualTo(0);
    }

    @Test
    void aConfigurationWithoutAccountsNeedsNoKeys() {
        mFixture.publish(Catalogs.withAccounts(2, Optional.empty(), ORDER));
        mFixture.send("/order/7");
        assertThat(sends()).isEqualTo(1);
    }

    @Test
    void retriesStayWithinTheRetryBudget() {
        int retries = 0;
        for (int request = 0; request < 300; request++) {
            int sendsBefore = sends();
            mFixture.send("/status/" + request);
            for (int send = sendsBefore; send < sends(); send++) {
                mFixture.mBackends.sent().get(send).fail(BackendFailure.INCOMPLETE);
            }
            retries += sends() - sendsBefore - 1;
        }
        double bound =
                300 * ForwardFixture.RETRY_BOUND.ratio() + ForwardFixture.RETRY_BOUND.slack();
        assertThat((double) retries).isAtMost(bound);
        assertThat(retries).isGreaterThan(0);
    }

    @Test
    void aStoppingRouterRefusesNewRequestsAndCompletesOpenOnes() {
        PendingRequest openRequest = mFixture.send("/order/1");
        mFixture.mService.refuseNew();
        assertThat(mFixture.send("/order/2").response().status()).isEqualTo(503);
        mFixture.answer(200, "r-1").complete();
        assertThat(openRequest.response().finished()).isTrue();
    }
}
