package io.rhubarbward.timer;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays iterations of an event loop in virtual time. */
final class UnreadTimeTest {
    private long mNowNanos;
    private final UnreadTime mUnread = new UnreadTime(0);

    /** Plays an iteration that begins with ready sockets. */
    private void iterate(long workMillis) {
        mUnread.onPoll(mNowNanos);
        work(workMillis);
    }

    private void waitAndIterate(long waitMillis, long workMillis) {
        mUnread.onWait();
        mNowNanos += Duration.ofMillis(waitMillis).toNanos();
        work(workMillis);
    }

    private void work(long millis) {
        mUnread.onWork(mNowNanos);
        mNowNanos += Duration.ofMillis(millis).toNanos();
    }

    private long unreadMillis() {
        return Duration.ofNanos(mUnread.nanos(mNowNanos)).toMillis();
    }

    // Guards against incident 36: a lag measured by a tick of 200 ms was 0 after each long
    // iteration, as the tick ran at its end.
    @ParameterizedTest
    @ValueSource(longs = {50, 190, 500, 2000})
    void whatCameDuringALongIterationMayHaveWaitedForAllOfIt(long iterationMillis) {
        waitAndIterate(30, iterationMillis);
        assertThat(mUnread.mustPollBeforeWait(mNowNanos)).isTrue();
        iterate(0);
        assertThat(unreadMillis()).isEqualTo(iterationMillis);
    }

    @Test
    void theTimeOfTheIterationItselfIsAdded() {
        waitAndIterate(30, 300);
        iterate(200);
        assertThat(unreadMillis()).isEqualTo(500);
    }

    @Test
    void aLoopThatWaitedHasNothingUnread() {
        waitAndIterate(30, 300);
        waitAndIterate(20, 0);
        assertThat(unreadMillis()).isEqualTo(0);
    }

    @Test
    void severalLongIterationsCountTheLastOneOnly() {
        iterate(700);
        iterate(300);
        iterate(0);
        assertThat(unreadMillis()).isEqualTo(300);
    }
}
