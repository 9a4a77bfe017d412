package io.rhubarbward.directory;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.store.DecodedObject;
import io.rhubarbward.store.PlatformFailure;
import io.rhubarbward.store.StoreAvailability;
import io.rhubarbward.store.StoreRevision;
import io.rhubarbward.testing.FakeObjectKind;
import io.rhubarbward.testing.ListedServers;
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
    private final StoreAvailability mAvailability = new StoreAvailability(mTimers, mEvents);
    private final List<String> mNotifications = new ArrayList<>();
    private final BackendDirectory mDirectory =
            new BackendDirectory(
                    mTimers,
                    mAvailability,
                    mEvents,
                    new DirectoryListener() {
                        @Override
                        public void onAdded(ListedServer server) {
                            mNotifications.add("added " + server.id());
                        }

                        @Override
                        public void onUpdated(ListedServer server) {
                            mNotifications.add("updated " + server.id());
                        }

                        @Override
                        public void onRemoved(ListedServer server) {
                            mNotifications.add("removed " + server.id());
                        }
                    });

    private static DecodedObject<ListedServer> item(String id) {
        return FakeObjectKind.item(id, ListedServers.server(id, "chat", "a"));
    }

    private void simulateFiveSecondOutage() {
        mAvailability.callFailed(
                "watch", new PlatformFailure.AnswerLost(PlatformFailure.Reason.TIMEOUT));
        mTimers.advance(Duration.ofSeconds(5));
        mAvailability.callSucceeded();
    }

    @Test
    void aDeletedEntryIsRemovedImmediately() {
        mDirectory.onSnapshot(List.of(item("i-1"), item("i-2")));
        mDirectory.onDeleted("i-1");
        assertThat(mDirectory.server("i-1")).isEmpty();
        assertThat(mNotifications)
                .containsExactly("added i-1", "added i-2", "removed i-1")
                .inOrder();
    }

    @Test
    void anEntryDeletedDuringAnOutageIsRemovedUnlessListedAgainWithinTwoSeconds() {
        mDirectory.onSnapshot(List.of(item("i-1"), item("i-2")));
        simulateFiveSecondOutage();
        mDirectory.onSnapshot(List.of());
        mTimers.advance(Duration.ofMillis(1500));
        mDirectory.onItem(item("i-1"));
        mTimers.advance(Duration.ofMillis(600));
        assertThat(mDirectory.servers().stream().map(ListedServer::id)).containsExactly("i-1");
        assertThat(mNotifications).contains("removed i-2");
        assertThat(mNotifications).doesNotContain("removed i-1");
    }

    private static DecodedObject<ListedServer> written(String id, long writes, boolean draining) {
        return FakeObjectKind.item(id, ListedServers.written(id, writes, draining));
    }

    private List<String> listedIds() {
        return mDirectory.servers().stream().map(ListedServer::id).toList();
    }

    /** Guards against new requests to a leaving server since the store was restored. */
    @Test
    void aDrainingServerIsNotMadeReadyByAnEntryThatItWroteBefore() {
        mDirectory.onItem(written("i-1", 7, true));
        mDirectory.onSnapshot(List.of(written("i-1", 5, false)));
        assertThat(mDirectory.server("i-1").orElseThrow().draining()).isTrue();
    }

    /** Guards against requests to a server that has left but is listed in a restored store. */
    @Test
    void aServerThatIsGoneIsNotUsedForAnEntryThatItWroteBefore() {
        mDirectory.onItem(written("i-1", 7, false));
        mDirectory.onDeleted("i-1");
        mDirectory.onSnapshot(List.of(written("i-1", 7, false)));
        mTimers.advance(Duration.ofSeconds(4));
        assertThat(listedIds()).isEmpty();
        mDirectory.onDeleted("i-1");
        mTimers.advance(Duration.ofSeconds(4));
        assertThat(listedIds()).isEmpty();
    }

    @Test
    void aServerThatWasGoneIsUsedAgainOnceItWritesOrItsEntryDoesNotLapse() {
        mDirectory.onItem(written("i-1", 7, false));
        mDirectory.onItem(written("i-2", 7, false));
        mDirectory.onSnapshot(List.of());
        mDirectory.onSnapshot(List.of(written("i-1", 6, false), written("i-2", 6, false)));
        mDirectory.onItem(written("i-1", 8, false));
        assertThat(listedIds()).containsExactly("i-1");
        mTimers.advance(Duration.ofSeconds(6));
        assertThat(listedIds()).containsExactly("i-1", "i-2");
    }

    @Test
    void twoSecondsAfterAnOutageADeletedEntryIsRemovedImmediately() {
        mDirectory.onSnapshot(List.of(item("i-1")));
        simulateFiveSecondOutage();
        mTimers.advance(Duration.ofSeconds(2));
        mDirectory.onDeleted("i-1");
        assertThat(mNotifications).contains("removed i-1");
    }

    @Test
    void aRestartedServerIsReportedAsRemovedAndAdded() {
        mDirectory.onItem(item("i-1"));
        mDirectory.onItem(
                FakeObjectKind.item(
                        "i-1",
                        ListedServers.server("i-1", "chat", "a", Duration.ofSeconds(3), false, 2)));
        assertThat(mNotifications)
                .containsExactly("added i-1", "removed i-1", "added i-1")
                .inOrder();
    }

    /** A delayed write of an ended incarnation must not replace the entry of the current one. */
    @Test
    void anEntryOfAnEarlierIncarnationIsIgnored() {
        ListedServer restarted = ListedServers.server("i-1", "chat", "a", Duration.ZERO, false, 2);
        mDirectory.onItem(FakeObjectKind.item("i-1", restarted));
        mDirectory.onItem(
                FakeObjectKind.item(
                        "i-1", ListedServers.server("i-1", "chat", "a", Duration.ZERO, true, 1)));
        assertThat(mDirectory.server("i-1")).hasValue(restarted);
        assertThat(mNotifications).containsExactly("added i-1");
    }

    @Test
    void anEntryThatCannotBeDecodedRemovesItsServer() {
        mDirectory.onItem(item("i-1"));
        mDirectory.onItem(
                new DecodedObject<>(
                        "i-1", new StoreRevision(0, 9), Either.left("slots=x"), () -> "{}"));
        mDirectory.onItem(
                new DecodedObject<>(
                        "i-9", new StoreRevision(0, 9), Either.left("state=odd"), () -> "{}"));
        assertThat(mDirectory.servers()).isEmpty();
    }
}
