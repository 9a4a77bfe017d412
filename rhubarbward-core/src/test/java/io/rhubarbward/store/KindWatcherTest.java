package io.rhubarbward.store;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.event.LogEvent;
import io.rhubarbward.testing.FakeKind;
import io.rhubarbward.testing.RecordingEvents;
import io.rhubarbward.timer.VirtualTimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class KindWatcherTest {
    private static final Duration WAIT = Duration.ofMillis(1500);

    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final RecordingEvents mEvents = new RecordingEvents();
    private final StoreAvailability mAvailability = new StoreAvailability(mTimers, mEvents);
    private final FakeKind<String> mKind = new FakeKind<>();
    private final List<String> mSeen = new ArrayList<>();
    private final KindWatcher<String> mWatcher =
            new KindWatcher<>(
                    mKind,
                    new KindListener<>() {
                        @Override
                        public void onSnapshot(List<DecodedObject<String>> items) {
                            mSeen.add("all " + items.stream().map(DecodedObject::name).toList());
                        }

                        @Override
                        public void onItem(DecodedObject<String> item) {
                            mSeen.add("item " + item.name());
                        }

                        @Override
                        public void onDeleted(String name) {
                            mSeen.add("deleted " + name);
                        }
                    },
                    WAIT,
                    mTimers,
                    mAvailability,
                    new SplittableRandom(1));

    @Test
    void listsOnceAndThenWatchesFromThere() {
        mWatcher.start();
        mKind.listed(7, FakeKind.item("a", "1"));
        assertThat(mKind.watchedFrom()).isEqualTo(7);
        mKind.changed(9, FakeKind.item("b", "2"));
        mKind.deleted(11, FakeKind.item("a", "1"));
        assertThat(mSeen).containsExactly("all [a]", "item b", "deleted a").inOrder();
        assertThat(mKind.watchedFrom()).isEqualTo(11);
    }

    @Test
    void listsAgainWhenTheHistoryIsGone() {
        mWatcher.start();
        mKind.listed(7);
        mKind.historyLost();
        assertThat(mKind.openLists()).isEqualTo(1);
        mKind.listed(30, FakeKind.item("c", "3"));
        assertThat(mSeen).containsExactly("all []", "all [c]").inOrder();
    }

    @Test
    void logsAnOutageOnceAndGoesOnFromTheLastRevision() {
        mWatcher.start();
        mKind.listed(7);
        for (int call = 0; call < 4; call++) {
            mKind.watchFails();
            mTimers.advance(Duration.ofSeconds(2));
        }
        mKind.changed(8, FakeKind.item("a", "1"));
        assertThat(mEvents.logged())
                .containsExactly(LogEvent.PLATFORM_UNAVAILABLE, LogEvent.PLATFORM_AVAILABLE)
                .inOrder();
        assertThat(mSeen).containsExactly("all []", "item a").inOrder();
    }

    @Test
    void triesAgainWithinTwoSecondsOfAReturnHoweverLongTheOutage() {
        mWatcher.start();
        for (int call = 0; call < 10; call++) {
            mKind.listFails();
            mTimers.advance(Duration.ofSeconds(2));
            assertThat(mKind.openLists()).isEqualTo(1);
        }
    }

    /** A waiting watch confirms nothing; its end confirms less than the time that it waited. */
    @Test
    void aWatchConfirmsOnlyWhenItAnswers() {
        mWatcher.start();
        mKind.listed(7);
        assertThat(mWatcher.stalenessMillis()).isEqualTo(0);
        mTimers.advance(WAIT);
        assertThat(mWatcher.stalenessMillis()).isEqualTo(WAIT.toMillis());
        mKind.changed(7);
        assertThat(mWatcher.stalenessMillis()).isEqualTo(1200);
    }

    @Test
    void nothingIsConfirmedWhileItReadsAgain() {
        mWatcher.start();
        mKind.listed(7);
        mWatcher.relist();
        assertThat(mWatcher.stalenessMillis()).isGreaterThan(Duration.ofDays(1).toMillis());
        mKind.changed(9, FakeKind.item("old-watch", "x"));
        assertThat(mSeen).containsExactly("all []");
        mTimers.advance(Duration.ofMillis(30));
        mKind.listed(12);
        assertThat(mWatcher.stalenessMillis()).isEqualTo(30);
    }

    /** The call's connection fell silent with the store; another kind's call was answered. */
    @Test
    void aCallThatHangsIsRepeatedAtOnceWhenTheStoreIsBack() {
        mWatcher.start();
        mKind.listed(7);
        mTimers.advance(Duration.ofSeconds(1));
        mAvailability.failed(
                "other", new PlatformFailure.AnswerLost(PlatformFailure.Reason.TIMEOUT));
        mAvailability.succeeded();
        assertThat(mKind.openWatches()).isEqualTo(2);
        mKind.changed(9, FakeKind.item("silent", "x"));
        assertThat(mSeen).containsExactly("all []");
        mKind.changed(9, FakeKind.item("a", "1"));
        assertThat(mSeen).containsExactly("all []", "item a").inOrder();
        assertThat(mKind.openWatches()).isEqualTo(1);
    }

    /** A store that refuses some calls and answers others must not be asked without a pause. */
    @Test
    void aReturnRepeatsNoCallThatWasJustSent() {
        mWatcher.start();
        mKind.listed(7);
        for (int flap = 0; flap < 20; flap++) {
            mAvailability.failed(
                    "other", new PlatformFailure.AnswerLost(PlatformFailure.Reason.TIMEOUT));
            mAvailability.succeeded();
            mTimers.advance(Duration.ofMillis(50));
        }
        assertThat(mKind.openWatches()).isAtMost(3);
    }

    @Test
    void aWatchThatRepeatsAFailedOneHardlyWaitsAndConfirmsNothingOfTheLastSecond() {
        mWatcher.start();
        mKind.listed(7);
        mKind.watchFails();
        mTimers.advance(Duration.ofSeconds(2));
        assertThat(mKind.watchedFor()).isLessThan(Duration.ofMillis(100));
        mKind.changed(7);
        assertThat(mWatcher.stalenessMillis()).isAtLeast(1100);
        assertThat(mKind.watchedFor()).isEqualTo(WAIT);
    }
}
