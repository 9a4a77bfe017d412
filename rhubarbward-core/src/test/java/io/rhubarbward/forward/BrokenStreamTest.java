package io.rhubarbward.forward;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.catalog.RouteKind;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.testing.Catalogs;
import io.rhubarbward.testing.FakeBackends;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Event streams whose end is the end of their connection. */
final class BrokenStreamTest {
    private final ForwardFixture mFixture =
            new ForwardFixture(Catalogs.route("chat", "/chat/", RouteKind.STREAMING));

    private static HeaderFields head() {
        return HeaderFields.of("id", "r-1").with("content-type", "text/event-stream");
    }

    private ForwardFixture.PendingRequest receive(HeaderFields head, String... parts) {
        ForwardFixture.PendingRequest request =
                mFixture.send("/chat/1", ForwardFixture.headers("r-1").with("part", "p"));
        FakeBackends.Sent answer = mFixture.mBackends.last().head(200, head);
        for (String part : parts) {
            answer.part(part);
        }
        answer.complete();
        return request;
    }

    // Guards against a stream that breaks off inside an event and looks complete to its caller.
    @ParameterizedTest
    @ValueSource(strings = {"data: 2", "data: 2\n", "id: 2\nda", "data: 2\r\n", "id"})
    void aStreamThatEndsInsideAnEventIsCut(String tail) {
        ForwardFixture.PendingRequest request =
                receive(head(), "id: 1\ndata: 1\n\n", "id: 2\n" + tail);
        assertThat(request.response().aborted()).isTrue();
        assertThat(request.response().finished()).isFalse();
    }

    @Test
    void aStreamThatEndsBetweenEventsIsComplete() {
        assertThat(receive(head(), "data: 1\n", "\n").response().finished()).isTrue();
        assertThat(receive(head(), "data: 1\r\n\r", "\n").response().finished()).isTrue();
        assertThat(receive(head(), "data: 1\r\r").response().finished()).isTrue();
    }

    @Test
    void aStreamWithoutAnyEventIsCutUnlessItStatesItsLength() {
        assertThat(receive(head()).response().aborted()).isTrue();
        assertThat(receive(head().with("content-length", "0")).response().finished()).isTrue();
    }

    @Test
    void otherBodiesMayEndAnywhere() {
        HeaderFields head = HeaderFields.of("id", "r-1").with("content-type", "text/plain");
        assertThat(receive(head, "data: 1").response().finished()).isTrue();
    }
}
