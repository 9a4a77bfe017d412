package io.rhubarbward.forward;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.catalog.RouteKind;
import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.testing.Catalogs;
import io.rhubarbward.testing.FakeBackends;
import io.rhubarbward.testing.ListedServers;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Which ends of connections count as crashes of servers. */
final class CrashRecordingTest {
    private final ForwardFixture mFixture =
            new ForwardFixture(Catalogs.route("chat", "/chat/", RouteKind.STREAMING));

    private FakeBackends.Sent send() {
        mFixture.send(
                "/chat/1",
                HeaderFields.of("id", "r-1")
                        .with("host", Catalogs.HOST)
                        .with("key", Catalogs.API_KEY)
                        .with("patience", "12000")
                        .with("part", "p"));
        return mFixture.mBackends.last();
    }

    private boolean suspected() {
        return !mFixture.mCrashSuspects.empty();
    }

    @ParameterizedTest
    @EnumSource(
            value = BackendFailure.class,
            names = {"CONNECTION_LOST", "INCOMPLETE"})
    void aConnectionThatEndsDuringARequestMakesItSuspect(BackendFailure failure) {
        send().fail(failure);
        assertThat(suspected()).isTrue();
    }

    @ParameterizedTest
    @EnumSource(
            value = BackendFailure.class,
            names = {"NOT_CONNECTED", "SILENT", "INVALID_STATUS"})
    void aServerThatIsNotReachedOrAnswersWithAnInvalidStatusIsNoCrash(BackendFailure failure) {
        send().fail(failure);
        assertThat(suspected()).isFalse();
    }

    @Test
    void anAnswerThatHasGoneOnForAWhileIsNotWhatCrashedTheServer() {
        FakeBackends.Sent sent = send().head(200, HeaderFields.of("id", "r-1"));
        mFixture.mTimers.advance(Duration.ofMillis(1500));
        sent.fail(BackendFailure.CONNECTION_LOST);
        assertThat(suspected()).isFalse();
    }

    private int answersOfRequest() {
        return mFixture.mCrashSuspects.all().stream()
                .mapToInt(suspect -> Long.bitCount(suspect.answers()))
                .max()
                .orElse(0);
    }

    // Guards against blaming a part of long streams, of which none ends for a while after a crash.
    @Test
    void anAnswerThatHasGoneOnForAWhileCountsBeforeItEnds() {
        FakeBackends.Sent stream = send().head(200, HeaderFields.of("id", "r-1"));
        send().fail(BackendFailure.CONNECTION_LOST);
        stream.part("data: 1\n\n");
        assertThat(answersOfRequest()).isEqualTo(0);
        mFixture.mTimers.advance(Duration.ofMillis(1500));
        stream.part("data: 2\n\n");
        assertThat(answersOfRequest()).isEqualTo(1);
    }

    // Guards against counting a long answer only for the crashes before it had gone on for a while.
    @Test
    void anAnswerThatEndsCountsForCrashesInTheMeantimeToo() {
        FakeBackends.Sent stream = send().head(200, HeaderFields.of("id", "r-1"));
        mFixture.mCrashSuspects.recordCrash(List.of(7L), "chat", 1, 0);
        mFixture.mTimers.advance(Duration.ofMillis(1500));
        stream.part("data: 1\n\n");
        send().fail(BackendFailure.CONNECTION_LOST);
        assertThat(answersOfRequest()).isEqualTo(0);
        stream.complete();
        assertThat(answersOfRequest()).isEqualTo(1);
    }

    @Test
    void aServerThatDrainsOrHasLeftTheDirectoryEndsItsConnectionsByItself() {
        FakeBackends.Sent sent = send();
        mFixture.mTable.onUpdated(
                ListedServers.server(sent.server(), "chat", "a", Duration.ZERO, true, 1));
        sent.fail(BackendFailure.CONNECTION_LOST);
        assertThat(suspected()).isFalse();
        FakeBackends.Sent other = send();
        mFixture.mTable.onRemoved(ListedServers.server(other.server(), "chat", "a"));
        other.fail(BackendFailure.CONNECTION_LOST);
        assertThat(suspected()).isFalse();
    }
}
