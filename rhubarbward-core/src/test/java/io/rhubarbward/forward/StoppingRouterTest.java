package io.rhubarbward.forward;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.catalog.RouteKind;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.testing.Catalogs;
import io.rhubarbward.testing.FakeBackends;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a router takes and how it ends requests while it stops. */
final class StoppingRouterTest {
    private final ForwardFixture mFixture =
            new ForwardFixture(
                    Catalogs.route("order", "/order/", RouteKind.NON_IDEMPOTENT),
                    Catalogs.route("status", "/status/", RouteKind.IDEMPOTENT),
                    Catalogs.route("chat", "/chat/", RouteKind.STREAMING));

    private void beginStop(long leftMillis) {
        mFixture.mService.beginStop(mFixture.mTimers.nowMillis() + leftMillis);
    }

    private ForwardFixture.PendingRequest send(String path, String patienceMillis) {
        HeaderFields headers =
                ForwardFixture.headers("r-1").without(field -> field.name().equals("patience"));
        return mFixture.send(path, headers.with("patience", patienceMillis));
    }

    // Guards against incident 33, report 2: an order was taken late in a stop and cut.
    @Test
    void aRequestThatMayRunOnceIsRefusedIfItCouldOutlastTheProcess() {
        beginStop(1500);
        ForwardFixture.PendingRequest late = send("/order/1", "1900");
        assertThat(late.response().status()).isEqualTo(503);
        assertThat(late.response().headers().first("retry-after-ms")).isPresent();
        assertThat(late.response().body()).contains("draining");
        assertThat(mFixture.mBackends.sent()).isEmpty();
    }

    // The route's own limit counts for a caller who waits for longer.
    @Test
    void aRequestThatEndsInTimeIsServed() {
        beginStop(2100);
        ForwardFixture.PendingRequest order = send("/order/1", "60000");
        mFixture.answer(200, "r-1").complete();
        assertThat(order.response().status()).isEqualTo(200);
    }

    @ParameterizedTest
    @ValueSource(strings = {"/status/1", "/chat/1"})
    void otherRequestsAreServedWhileTheBalancerStillSendsThem(String path) {
        beginStop(1500);
        ForwardFixture.PendingRequest pending = send(path, "1900");
        mFixture.answer(200, "r-1").complete();
        assertThat(pending.response().status()).isEqualTo(200);
    }

    // Guards against a process that ends with answers in its memory that their callers still read.
    @Test
    void anAnswerCountsUntilItIsWrittenToItsCaller() {
        ForwardFixture.PendingRequest pending = send("/order/1", "1900");
        pending.response().stallDelivery();
        mFixture.answer(200, "r-1").part("a long answer").complete();
        assertThat(mFixture.mService.openRequests()).isEqualTo(0);
        assertThat(mFixture.mService.undeliveredAnswers()).isEqualTo(1);
        pending.response().deliver();
        mFixture.mTimers.advance(Duration.ZERO);
        assertThat(mFixture.mService.undeliveredAnswers()).isEqualTo(0);
    }

    // At the end of the stop each request without an answer gets one, and a true one.
    @ParameterizedTest
    @ValueSource(strings = {"/order/1", "/status/1", "/chat/1"})
    void aRequestThatIsOpenAtTheEndIsAnswered(String path) {
        ForwardFixture.PendingRequest pending = send(path, "1900");
        FakeBackends.Sent sent = mFixture.mBackends.last();
        beginStop(500);
        mFixture.mTimers.advance(Duration.ofMillis(500));
        mFixture.mService.endOpen();
        assertThat(pending.response().status()).isEqualTo(502);
        assertThat(pending.response().finished()).isTrue();
        assertThat(sent.cancelled()).isTrue();
        assertThat(mFixture.mService.openRequests()).isEqualTo(0);
    }

    @Test
    void aRequestThatNeverReachedAServerIsSaidNotToHaveRun() {
        ForwardFixture.PendingRequest pending = send("/order/1", "1900");
        mFixture.mBackends.last().connecting();
        mFixture.mService.endOpen();
        assertThat(pending.response().status()).isEqualTo(503);
        assertThat(pending.response().finished()).isTrue();
    }

    @Test
    void anAnswerThatHasBegunIsCutSoThatItDoesNotLookComplete() {
        ForwardFixture.PendingRequest pending = send("/chat/1", "1900");
        mFixture.answer(200, "r-1").part("data: a\n\n");
        mFixture.mService.endOpen();
        assertThat(pending.response().aborted()).isTrue();
        assertThat(pending.response().finished()).isFalse();
    }
}
