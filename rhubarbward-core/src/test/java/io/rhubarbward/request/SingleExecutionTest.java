package io.rhubarbward.request;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.store.memory.PlatformFaults;
import io.rhubarbward.testing.FakeBackends.Sent;
import io.rhubarbward.testing.RecordingResponse;
import io.rhubarbward.testing.Site;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests that a non-idempotent request with an idempotency key runs at most once. */
final class SingleExecutionTest {
    private static final Duration PERMIT_ROUND_TRIP = Duration.ofMillis(20);
    private static final int CREATED = 201;
    private static final Duration RETENTION = Duration.ofDays(1);
    private static final Duration DEADLINE = Duration.ofMinutes(5);

    private final Site mSite = Site.start(2);

    @Test
    void sameKeyAtAnotherRouterGetsTheStoredAnswer() {
        RecordingResponse first = placeOrder(0, "k", "tray");
        answer("placed");
        RecordingResponse second = placeOrder(1, "k", "tray");
        assertThat(mSite.backends().sent()).hasSize(1);
        assertThat(first.body()).isEqualTo("placed");
        assertThat(second.status()).isEqualTo(CREATED);
        assertThat(second.body()).isEqualTo("placed");
        assertThat(second.headers().first("content-type")).hasValue("text/plain");
        assertThat(second.headers().first("idempotency-replayed")).hasValue("true");
    }

    @Test
    void sameKeyAtTwoRoutersAtOnceIsSentOnce() {
        RecordingResponse first = serve(0, "k", "tray");
        RecordingResponse second = serve(1, "k", "tray");
        mSite.advance(PERMIT_ROUND_TRIP);
        assertThat(mSite.backends().sent()).hasSize(1);
        RecordingResponse refused = first.ended() ? first : second;
        assertThat(refused.status()).isEqualTo(409);
        assertThat(refused.body()).contains("\"code\":\"in-progress\"");
        assertThat(refused.headers().first("retry-after")).hasValue("1");
    }

    @Test
    void sameKeyWithAnotherBodyIsRefusedAsNotRun() {
        placeOrder(0, "k", "tray");
        answer("placed");
        RecordingResponse reused = placeOrder(1, "k", "two trays");
        assertThat(reused.status()).isEqualTo(422);
        assertThat(reused.body()).contains("\"code\":\"key-reused\"");
        assertThat(reused.body()).contains("\"run\":\"not-run\"");
        assertThat(mSite.backends().sent()).hasSize(1);
    }

    @Test
    void answerTooLargeToKeepIsRefusedAsDone() {
        placeOrder(0, "k", "tray");
        answer("x".repeat(3000));
        RecordingResponse again = placeOrder(1, "k", "tray");
        assertThat(again.body()).contains("\"code\":\"answer-not-kept\"");
        assertThat(again.body()).contains("\"run\":\"done\"");
    }

    @Test
    void lostAnswerIsUnknownAtEveryRouter() {
        placeOrder(0, "k", "tray");
        mSite.backends().last().fail(BackendFailure.CONNECTION_LOST);
        mSite.advance(PERMIT_ROUND_TRIP);
        RecordingResponse again = placeOrder(1, "k", "tray");
        assertThat(again.body()).contains("\"code\":\"outcome-unknown\"");
        assertThat(again.body()).contains("\"run\":\"unknown\"");
        assertThat(mSite.backends().sent()).hasSize(1);
    }

    @Test
    void unendedClaimIsUnknownAfterTheDeadline() {
        placeOrder(0, "k", "tray");
        mSite.store().faults(PlatformFaults.NONE.withDown(true));
        mSite.backends().last().fail(BackendFailure.CONNECTION_LOST);
        mSite.advance(DEADLINE);
        mSite.store().faults(PlatformFaults.NONE);
        RecordingResponse again = placeOrder(1, "k", "tray");
        assertThat(again.body()).contains("\"code\":\"outcome-unknown\"");
    }

    @Test
    void requestThatWasNotSentMayBeSentUnderTheSameKey() {
        placeOrder(0, "k", "tray");
        mSite.backends().last().fail(BackendFailure.NOT_CONNECTED);
        mSite.advance(PERMIT_ROUND_TRIP);
        mSite.backends().last().fail(BackendFailure.NOT_CONNECTED);
        mSite.advance(PERMIT_ROUND_TRIP);
        int before = mSite.backends().sent().size();
        placeOrder(1, "k", "tray");
        assertThat(mSite.backends().sent()).hasSize(before + 1);
    }

    @Test
    void claimWriteWithALostAnswerIsVerifiedByReadingBack() {
        mSite.store().faults(PlatformFaults.NONE.withLoseAnswers(1));
        placeOrder(0, "k", "tray");
        assertThat(mSite.backends().sent()).hasSize(1);
    }

    @Test
    void lostClaimWriteIsRetried() {
        mSite.store().faults(PlatformFaults.NONE.withLoseRequests(1));
        placeOrder(0, "k", "tray");
        assertThat(mSite.backends().sent()).hasSize(1);
        assertThat(placeOrder(1, "k", "tray").body()).contains("in-progress");
    }

    @Test
    void nothingIsSentWhileTheStoreIsDown() {
        mSite.store().faults(PlatformFaults.NONE.withDown(true));
        RecordingResponse refused = placeOrder(0, "k", "tray");
        assertThat(mSite.backends().sent()).isEmpty();
        assertThat(refused.status()).isEqualTo(503);
        assertThat(refused.body()).contains("\"code\":\"claims-unavailable\"");
        assertThat(refused.body()).contains("\"run\":\"not-run\"");
    }

    @Test
    void deduplicatingServiceIsServedWhileTheStoreIsDown() {
        mSite.apply(
                Site.SETTINGS.replace(
                        "\"kind\": \"plain\"", "\"kind\": \"plain\", \"deduplicates\": true"));
        mSite.advance(Duration.ofSeconds(3));
        mSite.store().faults(PlatformFaults.NONE.withDown(true));
        placeOrder(0, "k", "tray");
        assertThat(mSite.backends().sent()).hasSize(1);
    }

    @Test
    void disconnectedCallerGetsItsAnswerUnderItsKeyLater() {
        RecordingResponse disconnected = new RecordingResponse();
        CallerListener caller = mSite.router(0).serve(request("k", "tray"), disconnected);
        mSite.advance(PERMIT_ROUND_TRIP);
        caller.onGone();
        answer("placed");
        assertThat(disconnected.body()).isEmpty();
        assertThat(placeOrder(1, "k", "tray").body()).isEqualTo("placed");
    }

    @Test
    void keyMayBeReusedAfterItsRetention() {
        placeOrder(0, "k", "tray");
        answer("placed");
        mSite.advance(RETENTION.plus(DEADLINE).plusSeconds(1));
        placeOrder(1, "k", "other");
        assertThat(mSite.backends().sent()).hasSize(2);
    }

    @Test
    void cachedClaimThatAnotherRouterHasChangedIsNotUsed() {
        placeOrder(0, "k", "tray");
        assertThat(placeOrder(1, "k", "tray").body()).contains("in-progress");
        answer("placed");
        assertThat(placeOrder(1, "k", "tray").body()).isEqualTo("placed");
    }

    @Test
    void claimCostsOneWriteBeforeSendingAndOneAfterTheAnswer() {
        long before = mSite.store().writes();
        placeOrder(0, "k", "tray");
        assertThat(mSite.store().writes() - before).isEqualTo(1);
        answer("placed");
        assertThat(mSite.store().writes() - before).isEqualTo(2);
    }

    private RecordingResponse placeOrder(int router, String key, String body) {
        RecordingResponse response = serve(router, key, body);
        mSite.advance(PERMIT_ROUND_TRIP);
        return response;
    }

    private RecordingResponse serve(int router, String key, String body) {
        RecordingResponse response = new RecordingResponse();
        mSite.router(router).serve(request(key, body), response);
        return response;
    }

    private static CallerRequest request(String key, String body) {
        CallerRequest plain = Site.request("POST", "/orders/1", body);
        return new CallerRequest(
                plain.method(),
                plain.target(),
                plain.headers().with("Idempotency-Key", key),
                plain.body());
    }

    private void answer(String body) {
        Sent sent = mSite.backends().last();
        sent.head(CREATED, "text/plain").part(body).complete();
        mSite.advance(PERMIT_ROUND_TRIP);
    }
}
