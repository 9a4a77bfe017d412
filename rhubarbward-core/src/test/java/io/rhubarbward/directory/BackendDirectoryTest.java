package io.rhubarbward.directory;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.store.ObjectItem;
import io.rhubarbward.store.PlatformFailure;
import io.rhubarbward.store.StoreContact;
import io.rhubarbward.testing.FakeKind;
import io.rhubarbward.testing.Listings;
import io.rhubarbward.testing.RecordingEvents;
import io.rhubarbward.timer.VirtualTimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class BackendDirectoryTest {
    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final RecordingEvents mEvents = new RecordingEvents();
    private final StoreContact mContact = new StoreContact(mTimers, mEvents);
    private final List<String> mTold = new ArrayList<>();
    private final BackendDirectory mDirectory =
            new BackendDirectory(
                    mTimers,
                    mContact,
                    mEvents,
                    new DirectoryListener() {
                        @Override
                        public void onArrived(ListedServer server) {
                            mTold.add("arrived " + server.id());
                        }

                        @Override
                        public void onUpdated(ListedServer server) {
                            mTold.add("updated " + server.id());
                        }

                        @Override
                        public void onLeft(ListedServer server) {
                            mTold.add("left " + server.id());
                        }
                    });

    private static ObjectItem<ListedServer> item(String id) {
        return FakeKind.item(id, Listings.server(id, "chat", "a"));
    }

    private void outage() {
        mContact.failed("watch", new PlatformFailure.AnswerLost(PlatformFailure.Reason.TIMEOUT));
        mTimers.advance(Duration.ofSeconds(5));
        mContact.succeeded();
    }

    @Test
    void aDeletedEntryIsGoneAtOnce() {
        mDirectory.onSnapshot(List.of(item("i-1"), item("i-2")));
        mDirectory.onDeleted("i-1");
        assertThat(mDirectory.server("i-1")).isEmpty();
        assertThat(mTold).containsExactly("arrived i-1", "arrived i-2", "left i-1").inOrder();
    }

    @Test
    void anEntryThatLapsedDuringAnOutageMayComeBackForTwoSeconds() {
        mDirectory.onSnapshot(List.of(item("i-1"), item("i-2")));
        outage();
        mDirectory.onSnapshot(List.of());
        mTimers.advance(Duration.ofMillis(1500));
        mDirectory.onItem(item("i-1"));
        mTimers.advance(Duration.ofMillis(600));
        assertThat(mDirectory.servers().stream().map(ListedServer::id)).containsExactly("i-1");
        assertThat(mTold).contains("left i-2");
        assertThat(mTold).doesNotContain("left i-1");
    }

    @Test
    void twoSecondsAfterAnOutageADeletedEntryIsGoneAtOnce() {
        mDirectory.onSnapshot(List.of(item("i-1")));
        outage();
        mTimers.advance(Duration.ofSeconds(2));
        mDirectory.onDeleted("i-1");
        assertThat(mTold).contains("left i-1");
    }

    @Test
    void theSameIdBornAgainIsANewServer() {
        mDirectory.onItem(item("i-1"));
        mDirectory.onItem(
                FakeKind.item(
                        "i-1",
                        Listings.server("i-1", "chat", "a", Duration.ofSeconds(3), false, 2)));
        assertThat(mTold).containsExactly("arrived i-1", "left i-1", "arrived i-1").inOrder();
    }

    /** A write of a life that has ended can be done late; it must not bring that life back. */
    @Test
    void anEntryOfAnEarlierLifeIsLeftOut() {
        ListedServer reborn = Listings.server("i-1", "chat", "a", Duration.ZERO, false, 2);
        mDirectory.onItem(FakeKind.item("i-1", reborn));
        mDirectory.onItem(
                FakeKind.item("i-1", Listings.server("i-1", "chat", "a", Duration.ZERO, true, 1)));
        assertThat(mDirectory.server("i-1")).hasValue(reborn);
        assertThat(mTold).containsExactly("arrived i-1");
    }

    @Test
    void anEntryThatCannotBeReadNamesNoServer() {
        mDirectory.onItem(item("i-1"));
        mDirectory.onItem(new ObjectItem<>("i-1", 9, Either.left("slots=x")));
        mDirectory.onItem(new ObjectItem<>("i-9", 9, Either.left("state=odd")));
        assertThat(mDirectory.servers()).isEmpty();
    }
}
