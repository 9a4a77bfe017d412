package io.rhubarbward.store;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.event.LogEvent;
import io.rhubarbward.testing.FakeObjectKind;
import io.rhubarbward.testing.RecordingEvents;
import io.rhubarbward.timer.VirtualTimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class KindWatcherTest {
    private static final Duration WATCH_WAIT = Duration.ofMillis(1500);
    private static final Duration WATCH_CHECK = Duration.ofMillis(400);

    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final RecordingEvents mEvents = new RecordingEvents();
    private final StoreAvailability mAvailability = new StoreAvailability(mTimers, mEvents);
    private final FakeObjectKind<String> mKind = new FakeObjectKind<>();
    private final List<String> mNotifications = new ArrayList<>();
    private final KindWatcher<String> mWatcher =
            new KindWatcher<>(
                    mKind,
                    new KindListener<>() {
                        @Override
                        public void onSnapshot(List<DecodedObject<String>> items) {
                            mNotifications.add(
                                    "all " + items.stream().map(DecodedObject::name).toList());
                        }

                        @Override
                        public void onItem(DecodedObject<String> item) {
                            mNotifications.add("item " + item.name());
                        }

                        @Override
                        public void onDeleted(String name) {
                            mNotifications.add("deleted " + name);
                        }
                    },
                    new WatchTiming(WATCH_WAIT, Duration.ZERO, WATCH_CHECK),
                    mTimers,
                    mAvailability,
                    new SplittableRandom(1));

    @Test
    void listsOnceAndThenWatchesFromTheListedRevision() {
        mWatcher.start();
        mKind.answerList(7, FakeObjectKind.item("a", "1"));
        assertThat(mKind.watchedFrom()).isEqualTo(7);
        mKind.answerWatch(9, FakeObjectKind.item("b", "2"));
        mKind.answerWatchWithDeletion(11, FakeObjectKind.item("a", "1"));
        assertThat(mNotifications).containsExactly("all [a]", "item b", "deleted a").inOrder();
        assertThat(mKind.watchedFrom()).isEqualTo(11);
    }

    @Test
    void listsAgainWhenTheStoreHasDroppedTheHistory() {
        mWatcher.start();
        mKind.answerList(7);
        mKind.answerWatchWithHistoryLost();
        assertThat(mKind.openLists()).isEqualTo(1);
        mKind.answerList(30, FakeObjectKind.item("c", "3"));
        assertThat(mNotifications).containsExactly("all []", "all [c]").inOrder();
    }

    @Test
    void logsAnOutageOnceAndContinuesFromTheLastRevision() {
        mWatcher.start();
        mKind.answerList(7);
        for (int call = 0; call < 4; call++) {
            mKind.failWatch();
            mTimers.advance(Duration.ofSeconds(2));
        }
        mKind.answerWatch(8, FakeObjectKind.item("a", "1"));
        assertThat(mEvents.logged())
                .containsExactly(LogEvent.PLATFORM_UNAVAILABLE, LogEvent.PLATFORM_AVAILABLE)
                .inOrder();
        assertThat(mNotifications).containsExactly("all []", "item a").inOrder();
    }

    @Test
    void retriesWithinTwoSecondsHoweverLongTheOutage() {
        mWatcher.start();
        for (int call = 0; call < 10; call++) {
            mKind.failList();
            mTimers.advance(Duration.ofSeconds(2));
            assertThat(mKind.openLists()).isEqualTo(1);
        }
    }

    /** An open watch does not end staleness; an empty answer does, up to 1200 ms before its end. */
    @Test
    void onlyAnAnsweredWatchReducesStaleness() {
        mWatcher.start();
        mKind.answerList(7);
        assertThat(mWatcher.stalenessMillis()).isEqualTo(0);
        mTimers.advance(WATCH_WAIT);
        assertThat(mWatcher.stalenessMillis()).isEqualTo(WATCH_WAIT.toMillis());
        mKind.answerWatch(7);
        assertThat(mWatcher.stalenessMillis()).isEqualTo(1200);
    }

    @Test
    void everythingIsStaleUntilARelistIsAnswered() {
        mWatcher.start();
        mKind.answerList(7);
        mWatcher.relist();
        assertThat(mWatcher.stalenessMillis()).isGreaterThan(Duration.ofDays(1).toMillis());
        mKind.answerWatch(9, FakeObjectKind.item("old-watch", "x"));
        assertThat(mNotifications).containsExactly("all []");
        mTimers.advance(Duration.ofMillis(30));
        mKind.answerList(12);
        assertThat(mWatcher.stalenessMillis()).isEqualTo(30);
    }

    /** The call's connection went dead in the outage; another kind's call showed its end. */
    @Test
    void aHungCallIsRetriedImmediatelyAtTheEndOfAnOutage() {
        mWatcher.start();
        mKind.answerList(7);
        mTimers.advance(Duration.ofSeconds(1));
        mAvailability.callFailed(
                "other", new PlatformFailure.AnswerLost(PlatformFailure.Reason.TIMEOUT));
        mAvailability.callSucceeded();
        assertThat(mKind.openWatches()).isEqualTo(2);
        mKind.answerWatch(9, FakeObjectKind.item("silent", "x"));
        assertThat(mNotifications).containsExactly("all []");
        mKind.answerWatch(9, FakeObjectKind.item("a", "1"));
        assertThat(mNotifications).containsExactly("all []", "item a").inOrder();
        assertThat(mKind.openWatches()).isEqualTo(1);
    }

    /** A store that fails some calls and answers others must not get retries without a pause. */
    @Test
    void theEndOfAnOutageRetriesNoCallThatWasJustSent() {
        mWatcher.start();
        mKind.answerList(7);
        for (int flap = 0; flap < 20; flap++) {
            mAvailability.callFailed(
                    "other", new PlatformFailure.AnswerLost(PlatformFailure.Reason.TIMEOUT));
            mAvailability.callSucceeded();
            mTimers.advance(Duration.ofMillis(50));
        }
        assertThat(mKind.openWatches()).isAtMost(3);
    }

    @Test
    void aRetriedWatchWaitsBrieflyAndLeavesTheLastSecondStale() {
        mWatcher.start();
        mKind.answerList(7);
        mKind.failWatch();
        mTimers.advance(Duration.ofSeconds(2));
        assertThat(mKind.watchedFor()).isLessThan(Duration.ofMillis(100));
        mKind.answerWatch(7);
        assertThat(mWatcher.stalenessMillis()).isAtLeast(1100);
        assertThat(mKind.watchedFor()).isEqualTo(WATCH_WAIT);
    }

    /** Guards against a watch whose connection went silent and that looks like a quiet one. */
    @Test
    void aWatchThatMissedChangesIsAbandonedOnceTheStoreIsKnownToHaveChanged() {
        mWatcher.start();
        mKind.answerList(7);
        mTimers.advance(WATCH_CHECK);
        mAvailability.progress().observe(new StoreRevision(0, 9));
        mKind.answerNewestWatch(9, FakeObjectKind.item("a", "1"));
        assertThat(mNotifications).containsExactly("all []", "item a").inOrder();
        assertThat(mKind.watchedFrom()).isEqualTo(9);
        assertThat(mKind.watchedFor()).isEqualTo(WATCH_WAIT);
        assertThat(mEvents.logged()).containsExactly(LogEvent.STORE_WATCH_SILENT);
        mKind.answerWatch(9, FakeObjectKind.item("late", "1"));
        assertThat(mNotifications).hasSize(2);
    }

    /** Guards against a call for each change of another kind. */
    @Test
    void aWatchThatMissedNothingStaysOpenAndIsCheckedOnceForARevision() {
        mWatcher.start();
        mKind.answerList(7);
        mTimers.advance(WATCH_CHECK);
        mAvailability.progress().observe(new StoreRevision(0, 9));
        mKind.answerNewestWatch(9);
        mTimers.advance(WATCH_CHECK);
        mAvailability.progress().observe(new StoreRevision(0, 9));
        assertThat(mKind.openWatches()).isEqualTo(1);
        mAvailability.progress().observe(new StoreRevision(0, 10));
        mAvailability.progress().observe(new StoreRevision(0, 11));
        assertThat(mKind.openWatches()).isEqualTo(2);
        mKind.answerWatch(11, FakeObjectKind.item("a", "1"));
        assertThat(mNotifications).containsExactly("all []", "item a").inOrder();
        assertThat(mKind.watchedFrom()).isEqualTo(11);
    }

    /** Guards against a state that goes back to what a check was sent for. */
    @Test
    void aPeersUpdateThatComesBeforeTheAnswerToACheckIsNotUndone() {
        mWatcher.start();
        mKind.answerList(7);
        mTimers.advance(WATCH_CHECK);
        mAvailability.progress().observe(new StoreRevision(0, 9));
        mWatcher.adopt(
                KindUpdate.changes(
                        mWatcher.name(),
                        new StoreRevision(0, 7),
                        new StoreRevision(0, 12),
                        List.of()));
        mKind.answerNewestWatch(9, FakeObjectKind.item("old", "1"));
        assertThat(mNotifications).containsExactly("all []");
        assertThat(mWatcher.revision()).isEqualTo(new StoreRevision(0, 12));
    }

    /** Guards against an answer of a past era, or without one, that is taken for a newer state. */
    @Test
    void anAnswerOfAPastEraIsAFailedCall() {
        mWatcher.start();
        mKind.answerListInEra(2, 7, FakeObjectKind.item("a", "1"));
        mWatcher.relist();
        mKind.answerListInEra(1, 9, FakeObjectKind.item("b", "1"));
        mWatcher.relist();
        mKind.answerList(9, FakeObjectKind.item("b", "1"));
        assertThat(mNotifications).containsExactly("all [a]");
        assertThat(mAvailability.unavailable()).isTrue();
        mTimers.advance(Duration.ofSeconds(1));
        mKind.answerListInEra(2, 9, FakeObjectKind.item("c", "1"));
        assertThat(mNotifications).containsExactly("all [a]", "all [c]").inOrder();
    }
}
