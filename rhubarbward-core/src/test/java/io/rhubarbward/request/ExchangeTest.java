package io.rhubarbward.request;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.testing.FakeBackends.Sent;
import io.rhubarbward.testing.RecordingResponse;
import io.rhubarbward.testing.Site;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests retries, timeouts and the ends of answers. */
final class ExchangeTest {
    private static final int OK = 200;
    private static final String EVENT_STREAM = "text/event-stream";

    private final Site mSite = Site.start(1);
    private final RecordingResponse mResponse = new RecordingResponse();

    @Test
    void answerOfACancelledCallIsDropped() {
        CallerListener caller = serve(Site.chat("late"));
        Sent call = mSite.backends().last();
        caller.onGone();
        assertThat(call.cancelled()).isTrue();
        call.head(OK, "application/json").part("late").complete();
        assertThat(mResponse.status()).isEqualTo(0);
        assertThat(mResponse.body()).isEmpty();
    }

    @Test
    void streamWithoutItsFinalEventEndsWithAnErrorEvent() {
        serve(Site.chat("cut"));
        mSite.backends().last().head(OK, EVENT_STREAM).part("data: {}\n\n").complete();
        assertThat(mResponse.body()).contains("event: error\ndata: {");
        assertThat(mResponse.body()).contains("\"run\":\"unknown\"");
    }

    @Test
    void streamWithItsFinalEventInTwoPartsIsComplete() {
        serve(Site.chat("whole"));
        mSite.backends().last().head(OK, EVENT_STREAM).part("data: [D").part("ONE]\n\n").complete();
        assertThat(mResponse.body()).isEqualTo("data: [DONE]\n\n");
        assertThat(mResponse.finished()).isTrue();
    }

    @Test
    void cutAnswerThatIsNoStreamAbortsTheConnection() {
        serve(Site.request("POST", "/orders/1", "tray"));
        mSite.backends()
                .last()
                .head(OK, "text/plain")
                .part("ha")
                .fail(BackendFailure.CONNECTION_LOST);
        assertThat(mResponse.aborted()).isTrue();
    }

    @Test
    void repeatableRequestIsRetriedAtAnotherServer() {
        serve(Site.chat("retry"));
        Sent first = mSite.backends().last();
        first.fail(BackendFailure.CONNECTION_LOST);
        mSite.advance(Duration.ZERO);
        Sent second = mSite.backends().last();
        assertThat(second.server()).isNotEqualTo(first.server());
        second.head(OK, "application/json").part("{}").complete();
        assertThat(mResponse.finished()).isTrue();
    }

    @Test
    void requestThatMayHaveRunIsNotRetried() {
        serve(Site.request("POST", "/orders/1", "tray"));
        mSite.backends().last().fail(BackendFailure.CONNECTION_LOST);
        mSite.advance(Duration.ofMinutes(10));
        assertThat(mSite.backends().sent()).hasSize(1);
        assertThat(mResponse.status()).isEqualTo(502);
        assertThat(mResponse.body()).contains("\"run\":\"unknown\"");
    }

    @Test
    void requestThatCertainlyDidNotRunIsRetried() {
        serve(Site.request("POST", "/orders/1", "tray"));
        mSite.backends().last().fail(BackendFailure.NOT_CONNECTED);
        mSite.advance(Duration.ZERO);
        assertThat(mSite.backends().sent()).hasSize(2);
        mSite.backends().last().fail(BackendFailure.NOT_CONNECTED);
        assertThat(mResponse.body()).contains("\"run\":\"not-run\"");
    }

    @Test
    void silentServerFailsTheRequestAfterTheFirstByteTimeout() {
        serve(Site.request("POST", "/orders/1", "tray"));
        mSite.advance(Duration.ofMillis(19_999));
        assertThat(mResponse.ended()).isFalse();
        mSite.advance(Duration.ofMillis(1));
        assertThat(mResponse.status()).isEqualTo(504);
        assertThat(mSite.backends().last().cancelled()).isTrue();
    }

    /** Guards against a stop of the process after which requests fail whose answers are there. */
    @Test
    void anAnswerThatHasArrivedDuringAStopIsInTime() {
        serve(Site.request("POST", "/orders/1", "tray"));
        Sent call = mSite.backends().last();
        mSite.timers()
                .arriveUnread(() -> call.head(OK, "text/plain").part("whole answer").complete());
        mSite.advance(Duration.ofMillis(20_000));
        assertThat(mResponse.status()).isEqualTo(OK);
        assertThat(mResponse.finished()).isTrue();
    }

    @Test
    void slowCallerPausesReadingFromTheServer() {
        CallerListener caller = serve(Site.chat("slow"));
        Sent call = mSite.backends().last().head(OK, EVENT_STREAM);
        caller.onWritable(false);
        assertThat(call.paused()).isTrue();
        caller.onWritable(true);
        assertThat(call.paused()).isFalse();
    }

    @Test
    void drainingWaitsUntilTheCallerHasReadItsAnswer() {
        mResponse.stallDelivery();
        serve(Site.chat("unread"));
        mSite.backends().last().head(OK, "application/json").part("{}").complete();
        List<Integer> openAtDrainEnd = new ArrayList<>();
        mSite.router(0).drain(openAtDrainEnd::add);
        mSite.advance(Duration.ofSeconds(30));
        assertThat(openAtDrainEnd).isEmpty();
        mResponse.deliver();
        mSite.advance(Duration.ofSeconds(1));
        assertThat(openAtDrainEnd).containsExactly(0);
    }

    @Test
    void unreadAnswerIsAbortedAtTheDeadline() {
        mResponse.stallDelivery();
        serve(Site.chat("unread"));
        mSite.backends().last().head(OK, "application/json").part("{}").complete();
        mSite.advance(Duration.ofMillis(299_999));
        assertThat(mResponse.aborted()).isFalse();
        mSite.advance(Duration.ofMillis(1));
        assertThat(mResponse.aborted()).isTrue();
    }

    @Test
    void unreadRefusalIsAborted() {
        mResponse.stallDelivery();
        serve(Site.chat("unread"));
        mSite.backends().last().head(OK, EVENT_STREAM);
        for (int i = 0; i < 30; i++) {
            mSite.advance(Duration.ofSeconds(10));
            mSite.backends().last().part("data: {}\n\n");
        }
        assertThat(mResponse.finished()).isTrue();
        assertThat(mResponse.aborted()).isFalse();
        mSite.advance(Duration.ofSeconds(15));
        assertThat(mResponse.aborted()).isTrue();
    }

    @Test
    void bearerKeyIsNotForwarded() {
        serve(Site.chat("secret"));
        assertThat(mSite.backends().last().request().headers().first("authorization")).isEmpty();
    }

    private CallerListener serve(CallerRequest request) {
        CallerListener listener = mSite.router(0).serve(request, mResponse);
        mSite.advance(Duration.ZERO);
        return listener;
    }
}
