package io.rhubarbward.forward;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.catalog.RouteKind;
import io.rhubarbward.forward.ForwardFixture.PendingRequest;
import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.testing.Catalogs;
import io.rhubarbward.timer.EventLoopLag;
import io.rhubarbward.timer.VirtualTimerService;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Pattern: a router of little processor falls behind, and reads requests long after they arrived.
 *
 * <p>On the small twin of a large deployment 102 requests were sent on after their callers had
 * left; one reached its server 0.75 s after its deadline.
 */
final class StalledLoopTest {
    private final ForwardFixture mFixture =
            new ForwardFixture(
                    Catalogs.route("order", "/order/", RouteKind.NON_IDEMPOTENT),
                    Catalogs.route("status", "/status/", RouteKind.IDEMPOTENT));

    private int sends() {
        return mFixture.mBackends.sent().size();
    }

    @Test
    void aRequestWhoseTimeWasUsedUpUnreadIsNotSent() {
        mFixture.mLoopLagMillis = 990;
        PendingRequest request = mFixture.send("/order/7");
        mFixture.mTimers.advance(Duration.ofMillis(20));
        assertThat(sends()).isEqualTo(0);
        assertThat(request.response().status()).isEqualTo(504);
    }

    @Test
    void theTimeUnreadIsTakenOffTheRemainingTime() {
        mFixture.mLoopLagMillis = 200;
        mFixture.send("/order/7");
        assertThat(mFixture.mBackends.last().request().headers().first("remaining"))
                .hasValue("800");
        mFixture.mTimers.advance(Duration.ofMillis(800));
        assertThat(mFixture.mBackends.last().cancelled()).isTrue();
    }

    /** The loop learns in its next pass that the caller has closed the connection. */
    @Test
    void aCallerThatLeftWhileItsRequestWasUnreadCausesNoSend() {
        mFixture.mLoopLagMillis = 300;
        PendingRequest request = mFixture.send("/order/7");
        request.listener().onGone();
        mFixture.mTimers.advance(Duration.ofSeconds(1));
        assertThat(sends()).isEqualTo(0);
        assertThat(mFixture.mService.openRequests()).isEqualTo(0);
    }

    // Guards against incident 36: requests were sent on although their callers' close had arrived.
    @Test
    void aRequestOfACallerThatIsKnownToHaveLeftIsNotSent() {
        PendingRequest request = mFixture.sendOfCallerThatLeft("/order/7");
        assertThat(sends()).isEqualTo(0);
        assertThat(mFixture.mService.openRequests()).isEqualTo(0);
        assertThat(request.response().status()).isEqualTo(0);
    }

    @Test
    void aRequestOfACallerThatLeavesDuringAFailedAttemptIsNotSentAgain() {
        PendingRequest request = mFixture.send("/status/7");
        request.response().callerLeaves();
        mFixture.mBackends.last().fail(BackendFailure.NOT_CONNECTED);
        assertThat(sends()).isEqualTo(1);
        assertThat(mFixture.mService.openRequests()).isEqualTo(0);
    }

    @Test
    void aRequestOfACallerThatStayedIsSentInTheNextPass() {
        mFixture.mLoopLagMillis = 300;
        mFixture.send("/order/7");
        mFixture.mTimers.advance(Duration.ofMillis(1));
        assertThat(sends()).isEqualTo(1);
    }

    /** Callers give up an attempt that is unread for a third of their time. */
    @Test
    void anIdempotentRequestThatItsCallerHasGivenUpIsRefusedAsNotRun() {
        mFixture.mLoopLagMillis = 400;
        PendingRequest request = mFixture.send("/status/7");
        mFixture.mTimers.advance(Duration.ofMillis(1));
        assertThat(sends()).isEqualTo(0);
        assertThat(request.response().status()).isAnyOf(429, 503);
    }

    @Test
    void theLagIsSeenBeforeTheLateTickRuns() {
        VirtualTimerService timers = new VirtualTimerService();
        EventLoopLag lag = new EventLoopLag(timers, Duration.ofMillis(200));
        timers.advance(Duration.ofMillis(150));
        assertThat(lag.millis()).isEqualTo(0);
        timers.advance(Duration.ofMillis(850));
        assertThat(lag.millis()).isEqualTo(800);
        lag.tick();
        assertThat(lag.millis()).isEqualTo(0);
    }
}
