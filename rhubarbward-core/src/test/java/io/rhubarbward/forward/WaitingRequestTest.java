package io.rhubarbward.forward;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.admission.ServiceRoom;
import io.rhubarbward.catalog.CallerLimits;
import io.rhubarbward.catalog.Catalog;
import io.rhubarbward.catalog.EngineCapacity;
import io.rhubarbward.catalog.KeyedAccount;
import io.rhubarbward.catalog.Route;
import io.rhubarbward.catalog.RouteKind;
import io.rhubarbward.catalog.ServiceProfile;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.reach.ReachState;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.testing.Catalogs;
import io.rhubarbward.testing.FakeBackends;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Every way in which a request that waits for room goes on or ends: it was sent nowhere. */
final class WaitingRequestTest {
    private static final ServiceRoom ROOM = new ServiceRoom(24, 0, 0);
    private static final ServiceRoom NO_ROOM = new ServiceRoom(24, 24, 0);
    private static final Route CHAT = Catalogs.route("chat", "/chat/", RouteKind.STREAMING);

    private final ForwardFixture mFixture = new ForwardFixture(CHAT);

    @BeforeEach
    void wantRoom() {
        mFixture.publish(catalog(2, "acme"));
        mFixture.mAdmission.start();
        mFixture.mRoom = NO_ROOM;
    }

    private static Catalog catalog(long version, String account) {
        return new Catalog(
                version,
                List.of(CHAT),
                List.of(
                        new ServiceProfile(
                                "chat",
                                100,
                                Duration.ofSeconds(3),
                                20,
                                true,
                                Optional.of(new EngineCapacity(8, 80_000)))),
                Optional.of(
                        List.of(
                                new KeyedAccount(
                                        account,
                                        List.of(
                                                account.equals("acme")
                                                        ? Catalogs.API_KEY
                                                        : "other-key"),
                                        OptionalInt.empty()))),
                new CallerLimits(16_384, 1_000_000, 3000, 15_000));
    }

    private ForwardFixture.PendingRequest send() {
        return mFixture.send("/chat/1");
    }

    private void advance(long millis) {
        mFixture.mTimers.advance(Duration.ofMillis(millis));
    }

    private void assertRefusedUnsent(ForwardFixture.PendingRequest pending, int status) {
        assertThat(pending.response().status()).isEqualTo(status);
        assertThat(pending.response().finished()).isTrue();
        assertThat(pending.response().body()).contains("\"run\":\"not-run\"");
        assertNothingIsSentLater();
    }

    private void assertNothingIsSentLater() {
        mFixture.mRoom = ROOM;
        advance(3000);
        assertThat(mFixture.mBackends.sent()).isEmpty();
        assertThat(mFixture.mService.openRequests()).isEqualTo(0);
        assertThat(mFixture.mUsage.ownPlaces("chat")).isEmpty();
    }

    @Test
    void aRequestIsSentOnceThereIsRoom() {
        ForwardFixture.PendingRequest pending = send();
        assertThat(mFixture.mBackends.sent()).isEmpty();
        assertThat(mFixture.mEvents.logged()).contains(LogEvent.REQUEST_WAITS);
        mFixture.mRoom = ROOM;
        advance(100);
        assertThat(mFixture.mBackends.sent()).hasSize(1);
        assertThat(mFixture.mUsage.ownPlaces("chat")).containsExactly("acme", 1.0);
        mFixture.answer(200, "r-1").part("data: a\n\n").complete();
        assertThat(pending.response().status()).isEqualTo(200);
        assertThat(mFixture.mUsage.ownPlaces("chat")).isEmpty();
    }

    // Guards against requests that are held although a response could not begin in time any more.
    @Test
    void aRequestIsRefusedWhenItsTargetLatencyHasPassed() {
        ForwardFixture.PendingRequest pending = send();
        advance(299);
        assertThat(pending.response().status()).isEqualTo(0);
        advance(1);
        assertThat(pending.response().body()).contains("overloaded");
        assertThat(pending.response().headers().first("retry-after-ms")).isPresent();
        assertThat(mFixture.mEvents.logged()).contains(LogEvent.REQUEST_PUT_OFF);
        assertRefusedUnsent(pending, 503);
    }

    @Test
    void aRequestWaitsNoLongerThanUntilItsDeadline() {
        ForwardFixture.PendingRequest pending =
                mFixture.send(
                        "/chat/1",
                        ForwardFixture.headers("r-1")
                                .without(field -> field.name().equals("patience"))
                                .with("patience", "200"));
        advance(200);
        assertRefusedUnsent(pending, 504);
    }

    @Test
    void aRequestWhoseCallerLeavesIsNotSent() {
        ForwardFixture.PendingRequest pending = send();
        pending.listener().onGone();
        assertNothingIsSentLater();
        assertThat(pending.response().status()).isEqualTo(0);
    }

    // The close of the caller's connection may be read after the turn.
    @Test
    void aRequestWhoseCallerHasLeftUnnoticedIsNotSentAtItsTurn() {
        ForwardFixture.PendingRequest pending = send();
        pending.response().callerLeaves();
        assertNothingIsSentLater();
        assertThat(pending.response().status()).isEqualTo(0);
    }

    @Test
    void aRequestIsRefusedWhenTheRouterBeginsToStop() {
        ForwardFixture.PendingRequest pending = send();
        mFixture.mService.beginStop(10_000);
        assertThat(pending.response().body()).contains("draining");
        assertRefusedUnsent(pending, 503);
    }

    @Test
    void noRequestWaitsAtARouterThatStops() {
        mFixture.mService.beginStop(10_000);
        ForwardFixture.PendingRequest pending = send();
        assertThat(pending.response().body()).contains("overloaded");
        assertRefusedUnsent(pending, 503);
    }

    @Test
    void aRequestIsRefusedAtTheEndOfTheProcess() {
        ForwardFixture.PendingRequest pending = send();
        mFixture.mService.endOpen();
        assertRefusedUnsent(pending, 503);
    }

    @Test
    void aRequestMovesToAnotherRouterWhenThisOneIsCutOff() {
        ForwardFixture.PendingRequest pending = send();
        advance(50);
        mFixture.cutOff("front-2");
        FakeBackends.Sent forwarded = mFixture.mBackends.last();
        assertThat(forwarded.server()).isEqualTo("front-2");
        assertThat(forwarded.request().headers().first("patience")).isEqualTo(Optional.of("950"));
        mFixture.mRoom = ROOM;
        advance(500);
        assertThat(
                        mFixture.mBackends.sent().stream()
                                .filter(sent -> sent.server().startsWith("e-"))
                                .toList())
                .isEmpty();
        forwarded.head(200, HeaderFields.of("id", "r-1")).part("data: a\n\n").complete();
        assertThat(pending.response().status()).isEqualTo(200);
    }

    @Test
    void aRequestIsRefusedIfTheRouterIsCutOffAndNoOtherForwardsIt() {
        ForwardFixture.PendingRequest pending = send();
        mFixture.cutOff();
        assertThat(pending.response().status()).isEqualTo(503);
        assertThat(pending.response().body()).contains("\"run\":\"not-run\"");
        assertThat(mFixture.mService.openRequests()).isEqualTo(0);
    }

    // Guards against a request that hangs after the other router has handed it back.
    @Test
    void aRequestThatComesBackFromAnotherRouterPassesAdmissionAgain() {
        ForwardFixture.PendingRequest pending = send();
        mFixture.cutOff("front-2");
        FakeBackends.Sent forwarded = mFixture.mBackends.last();
        mFixture.mReachState = ReachState.CONNECTED;
        forwarded.head(503, HeaderFields.of("router-refusal", "no-backend 400 not-run"));
        assertThat(pending.response().status()).isEqualTo(0);
        mFixture.mRoom = ROOM;
        advance(100);
        assertThat(mFixture.mBackends.last().server()).startsWith("e-");
    }

    @Test
    void aRequestIsNotSentWhenItsKeyCanNoLongerBeTrusted() {
        ForwardFixture.PendingRequest pending = send();
        mFixture.mCatalogAgeMillis = 4700;
        mFixture.mRoom = ROOM;
        advance(100);
        assertThat(pending.response().body()).contains("not-ready");
        assertRefusedUnsent(pending, 503);
    }

    // Guards against a key that works for longer than allowed, since it was checked at arrival.
    @Test
    void aRequestIsNotSentWhenItsKeyWasRevokedMeanwhile() {
        ForwardFixture.PendingRequest pending = send();
        mFixture.publish(catalog(3, "other"));
        mFixture.mRoom = ROOM;
        advance(100);
        assertThat(pending.response().body()).contains("unauthenticated");
        assertRefusedUnsent(pending, 401);
    }

    @Test
    void aRequestThatNoServerHasRoomForWaitsUntilOneHas() {
        mFixture.mRoom = new ServiceRoom(0, 0, 0);
        List<FakeBackends.Sent> sent = fillServers();
        ForwardFixture.PendingRequest last = send();
        assertThat(last.response().status()).isEqualTo(0);
        assertThat(mFixture.mBackends.sent()).hasSize(sent.size());
        sent.get(0).head(200, HeaderFields.of("id", "r-1")).complete();
        mFixture.mTimers.runDue();
        assertThat(mFixture.mBackends.sent()).hasSize(sent.size() + 1);
        assertThat(last.response().status()).isEqualTo(0);
        mFixture.mBackends.last().head(200, HeaderFields.of("id", "r-1")).complete();
        assertThat(last.response().status()).isEqualTo(200);
    }

    /** Sends requests until one waits, which then leaves; returns those that were sent. */
    private List<FakeBackends.Sent> fillServers() {
        ForwardFixture.PendingRequest pending = send();
        int sent = 0;
        while (mFixture.mBackends.sent().size() > sent) {
            sent = mFixture.mBackends.sent().size();
            pending = send();
        }
        pending.listener().onGone();
        return new ArrayList<>(mFixture.mBackends.sent());
    }

    // Guards against a wait of a request that a server may know: the retry budget bounds it.
    @Test
    void aRequestThatAServerDeclinedIsNotPutInTheQueue() {
        mFixture.mRoom = new ServiceRoom(0, 0, 0);
        ForwardFixture.PendingRequest first = send();
        FakeBackends.Sent declined = mFixture.mBackends.last();
        fillServers();
        declined.head(503, HeaderFields.of("id", "r-1").with("not-run", "1"));
        FakeBackends.Sent again = mFixture.mBackends.last();
        again.head(503, HeaderFields.of("id", "r-1").with("not-run", "1"));
        assertThat(first.response().status()).isEqualTo(503);
    }

    // Servers that rest or are gone are no want of room: their refusals are as before.
    @Test
    void aRequestIsRefusedAtOnceIfItsServersRest() {
        mFixture.mRoom = ROOM;
        for (int i = 0; i < 2; i++) {
            send();
            mFixture.mBackends
                    .last()
                    .head(
                            503,
                            HeaderFields.of("id", "r-1").with("not-run", "1").with("rest", "900"));
        }
        ForwardFixture.PendingRequest pending = send();
        assertThat(pending.response().status()).isEqualTo(503);
        assertThat(mFixture.mEvents.logged()).doesNotContain(LogEvent.REQUEST_WAITS);
    }

    @Test
    void aServiceWithoutStatedCapacityIsServedAsBefore() {
        mFixture.publish(Catalogs.of(3, CHAT));
        send();
        assertThat(mFixture.mBackends.sent()).hasSize(1);
        assertThat(mFixture.mUsage.ownPlaces("chat")).isEmpty();
    }
}
