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

    private void iterate(Duration waits, Duration works) {
        mUnread.onPoll(mNowNanos);
        mNowNanos += waits.toNanos();
        mUnread.onWork(mNowNanos);
        mNowNanos += works.toNanos();
    }

    private long unreadMillisInNextIteration(Duration waits) {
        mUnread.onPoll(mNowNanos);
        mNowNanos += waits.toNanos();
        return Duration.ofNanos(mUnread.nanos(mNowNanos)).toMillis();
    }

    // Guards against incident 36: a lag measured by a tick of 200 ms was 0 after each long
    // iteration, as the tick ran at its end.
    @ParameterizedTest
    @ValueSource(longs = {50, 190, 500, 2000})
    void whatCameDuringALongIterationMayHaveWaitedForAllOfIt(long iterationMillis) {
        Duration iteration = Duration.ofMillis(iterationMillis);
        iterate(Duration.ofMillis(30), iteration);
        assertThat(unreadMillisInNextIteration(Duration.ZERO)).isEqualTo(iterationMillis);
    }

    @Test
    void theTimeOfTheIterationItselfIsAdded() {
        iterate(Duration.ofMillis(30), Duration.ofMillis(300));
        iterate(Duration.ZERO, Duration.ofMillis(200));
        assertThat(Duration.ofNanos(mUnread.nanos(mNowNanos)).toMillis()).isEqualTo(500);
    }

    @Test
    void aLoopThatWaitedHasNothingUnread() {
        iterate(Duration.ofMillis(30), Duration.ofMillis(300));
        assertThat(unreadMillisInNextIteration(Duration.ofMillis(20))).isEqualTo(0);
    }

    @Test
    void severalLongIterationsCountTheLastOneOnly() {
        iterate(Duration.ZERO, Duration.ofMillis(700));
        iterate(Duration.ZERO, Duration.ofMillis(300));
        assertThat(unreadMillisInNextIteration(Duration.ZERO)).isEqualTo(300);
    }
}
