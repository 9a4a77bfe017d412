package io.rhubarbward.net.loop;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.Timeout;
import io.rhubarbward.event.EventLog;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests in virtual time that sockets go before time-outs that are due. */
final class LoopTimeoutTest {
    private static final int DELAY_MILLIS = 500;

    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private int mExpired;

    LoopTimeoutTest() {
        mChannel.freezeTime();
    }

    private LoopTimeout start() {
        return LoopTimeout.start(
                mChannel.eventLoop(), () -> mExpired++, DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void iterateAfter(long millis) {
        mChannel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
    }

    /** Guards against a time-out that expires ahead of what has arrived in time. */
    @Test
    void expiresInTheIterationAfterItIsDue() {
        LoopTimeout timeout = start();
        iterateAfter(DELAY_MILLIS);
        assertThat(mExpired).isEqualTo(0);
        iterateAfter(1);
        assertThat(mExpired).isEqualTo(1);
        assertThat(timeout.cancel()).isFalse();
        assertThat(timeout.cancelled()).isFalse();
    }

    /** Guards against a time-out that what is read in its last iteration no longer cancels. */
    @Test
    void canBeCancelledOnceItIsDue() {
        LoopTimeout timeout = start();
        iterateAfter(DELAY_MILLIS);
        assertThat(timeout.cancel()).isTrue();
        iterateAfter(DELAY_MILLIS);
        assertThat(mExpired).isEqualTo(0);
        assertThat(timeout.cancelled()).isTrue();
    }

    /** Guards against an expired time-out that counts as cancelled by its own action. */
    @Test
    void cannotBeCancelledByItsOwnAction() {
        List<LoopTimeout> timeouts = new ArrayList<>();
        List<Boolean> cancelled = new ArrayList<>();
        timeouts.add(
                LoopTimeout.start(
                        mChannel.eventLoop(),
                        () -> cancelled.add(timeouts.get(0).cancel()),
                        DELAY_MILLIS,
                        TimeUnit.MILLISECONDS));
        iterateAfter(DELAY_MILLIS);
        iterateAfter(1);
        assertThat(cancelled).containsExactly(false);
        assertThat(timeouts.get(0).cancelled()).isFalse();
    }

    @Test
    void canBeCancelledBeforeItIsDue() {
        LoopTimeout timeout = start();
        assertThat(timeout.cancel()).isTrue();
        iterateAfter(2 * DELAY_MILLIS);
        iterateAfter(1);
        assertThat(mExpired).isEqualTo(0);
    }

    /** Guards against a time-out by a limit that is no longer in force when it is due. */
    @Test
    void waitsForTheRestOfARaisedLimit() {
        AtomicInteger limitMillis = new AtomicInteger(DELAY_MILLIS);
        LoopTimeout.startWithLimit(mChannel.eventLoop(), () -> mExpired++, limitMillis::get);
        limitMillis.set(2 * DELAY_MILLIS);
        iterateAfter(DELAY_MILLIS);
        iterateAfter(DELAY_MILLIS - 1);
        assertThat(mExpired).isEqualTo(0);
        iterateAfter(1);
        iterateAfter(1);
        assertThat(mExpired).isEqualTo(1);
    }

    /** Guards against calls to the store that fail although their answers have arrived. */
    @Test
    void timersOfTheHttpClientLetAnswersGoFirst() {
        EventLoopTimer timer = new EventLoopTimer(mChannel.eventLoop(), EventLog.none());
        Timeout timeout =
                timer.newTimeout(expired -> mExpired++, DELAY_MILLIS, TimeUnit.MILLISECONDS);
        iterateAfter(2 * DELAY_MILLIS);
        assertThat(timeout.isExpired()).isFalse();
        assertThat(timeout.cancel()).isTrue();
        iterateAfter(1);
        assertThat(mExpired).isEqualTo(0);
    }
}
