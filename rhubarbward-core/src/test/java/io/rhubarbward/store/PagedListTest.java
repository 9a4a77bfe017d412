package io.rhubarbward.store;

import static com.google.common.truth.Truth.assertThat;
import static io.rhubarbward.testing.FakeObjectKind.item;

import io.rhubarbward.event.EventLog;
import io.rhubarbward.testing.FakeObjectKind;
import io.rhubarbward.timer.VirtualTimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Tests lists of several pages between which the store changes. */
final class PagedListTest {
    private static final Duration WATCH_WAIT = Duration.ofMillis(1500);

    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final StoreAvailability mAvailability = new StoreAvailability(mTimers, EventLog.none());
    private final FakeObjectKind<String> mKind = new FakeObjectKind<>();
    private final TreeMap<String, String> mObjects = new TreeMap<>();
    private final List<String> mNotifications = new ArrayList<>();
    private final List<KindUpdate> mUpdates = new ArrayList<>();
    private final KindWatcher<String> mWatcher =
            new KindWatcher<>(
                    mKind,
                    new Listener(),
                    new WatchTiming(WATCH_WAIT, Duration.ZERO, WATCH_WAIT),
                    mTimers,
                    mAvailability,
                    new SplittableRandom(1));

    private final class Listener implements KindListener<String> {
        @Override
        public void onSnapshot(List<DecodedObject<String>> items) {
            mObjects.clear();
            items.forEach(this::onItem);
        }

        @Override
        public void onItem(DecodedObject<String> item) {
            mObjects.put(item.name(), item.value().get());
            mNotifications.add(item.name() + " " + item.value().get());
        }

        @Override
        public void onDeleted(String name) {
            mObjects.remove(name);
        }
    }

    private static ObjectChanges.Change<String> changed(String name, String value, long revision) {
        return new ObjectChanges.Change<>(item(name, value, revision), false);
    }

    private static ObjectChanges.Change<String> deleted(String name, long revision) {
        return new ObjectChanges.Change<>(item(name, "", revision), true);
    }

    /** Guards against changes of objects on an earlier page that come before the last page. */
    @Test
    void aChangeOnAnEarlierPageBetweenTwoPageCallsIsSeen() {
        mWatcher.start();
        mKind.answerListWithMore(10, item("a", "ready", 5), item("b", "ready", 6));
        mKind.answerList(12, item("c", "ready", 7));
        assertThat(mKind.watchedFrom()).isEqualTo(10);
        mKind.answerWatch(12, List.of(changed("a", "draining", 11), deleted("b", 12)));
        assertThat(mObjects).containsExactly("a", "draining", "c", "ready");
        assertThat(mKind.watchedFrom()).isEqualTo(12);
        assertThat(mKind.watchedFor()).isEqualTo(WATCH_WAIT);
    }

    /** Guards against a state that goes back to what came before a later page. */
    @Test
    void changesThatALaterPageShowsAlreadyTakeNothingBack() {
        mWatcher.start();
        mKind.answerListWithMore(10, item("a", "1", 5));
        mKind.answerList(15, item("c", "new", 13), item("d", "again", 15));
        mKind.answerWatch(
                12, List.of(changed("b", "gone", 11), changed("c", "old", 12), deleted("d", 4)));
        mKind.answerWatch(
                15, List.of(changed("c", "new", 13), deleted("b", 14), changed("d", "again", 15)));
        assertThat(mObjects).containsExactly("a", "1", "c", "new", "d", "again");
        assertThat(mNotifications).containsNoneOf("b gone", "c old");
        assertThat(mKind.watchedFrom()).isEqualTo(15);
    }

    /** Guards against peers that are sent a state that never was. */
    @Test
    void peersAreSentOneSnapshotWithTheChangesBetweenThePages() {
        mWatcher.subscribeToUpdates(mUpdates::add);
        mWatcher.startPaused();
        mKind.answerListWithMore(10, item("a", "1", 5));
        mKind.answerList(12, item("c", "1", 7));
        assertThat(mWatcher.hasListed()).isFalse();
        mKind.answerWatch(13, List.of(deleted("a", 11)));
        assertThat(mUpdates).hasSize(1);
        assertThat(mUpdates.get(0).snapshot()).isTrue();
        assertThat(mUpdates.get(0).revision()).isEqualTo(new StoreRevision(0, 13));
        assertThat(mUpdates.get(0).objects().stream().map(KindUpdate.ObjectState::name).toList())
                .containsExactly("c");
        assertThat(mKind.openWatches()).isEqualTo(0);
    }

    /** Guards against a list that is given up, or applied in part, when a call for it fails. */
    @Test
    void aFailedCallForTheChangesBetweenThePagesIsRetried() {
        mWatcher.start();
        mKind.answerListWithMore(10, item("a", "1", 5));
        mKind.answerList(12, item("c", "1", 7));
        mKind.failWatch();
        mTimers.advance(Duration.ofSeconds(1));
        assertThat(mKind.openLists()).isEqualTo(0);
        assertThat(mWatcher.hasListed()).isFalse();
        mKind.answerWatch(12, List.of(changed("a", "2", 11)));
        assertThat(mObjects).containsExactly("a", "2", "c", "1");
    }

    /** Guards against a list without the changes between its pages. */
    @Test
    void theKindIsListedAgainIfTheHistoryBetweenThePagesIsLost() {
        mWatcher.start();
        mKind.answerListWithMore(10, item("a", "1", 5));
        mKind.answerList(12, item("c", "1", 7));
        mKind.answerWatchWithHistoryLost();
        assertThat(mWatcher.hasListed()).isFalse();
        mKind.answerList(20, item("c", "2", 19));
        assertThat(mObjects).containsExactly("c", "2");
    }

    /** Guards against calls that a store at rest does not need. */
    @Test
    void pagesOfOneRevisionNeedNoFurtherCall() {
        mWatcher.start();
        mKind.answerListWithMore(10, item("a", "1", 5));
        mKind.answerList(10, item("c", "1", 7));
        assertThat(mObjects.keySet()).isEqualTo(Set.of("a", "c"));
        assertThat(mKind.watchedFor()).isEqualTo(WATCH_WAIT);
    }
}
