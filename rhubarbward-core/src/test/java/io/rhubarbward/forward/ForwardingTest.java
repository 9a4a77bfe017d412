package io.rhubarbward.forward;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.catalog.RouteKind;
import io.rhubarbward.forward.ForwardFixture.Asked;
import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.testing.Catalogs;
import io.rhubarbward.testing.FakeBackends;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class ForwardingTest {
    private final ForwardFixture mFixture =
            new ForwardFixture(
                    Catalogs.route("order", "/order/", RouteKind.NON_IDEMPOTENT),
                    Catalogs.route("status", "/status/", RouteKind.IDEMPOTENT),
                    Catalogs.route("chat", "/chat/", RouteKind.STREAMING));

    private int sends() {
        return mFixture.mBackends.sent().size();
    }

    @Test
    void passesTheWholeAnswerOn() {
        Asked asked = mFixture.ask("/order/7?x=%20y");
        assertThat(mFixture.mBackends.last().request().target()).isEqualTo("/order/7?x=%20y");
        mFixture.answer(200, "r-1").part("ab").part("c").complete();
        assertThat(asked.response().status()).isEqualTo(200);
        assertThat(asked.response().body()).isEqualTo("abc");
        assertThat(asked.response().finished()).isTrue();
        assertThat(mFixture.mService.openRequests()).isEqualTo(0);
    }

    @Test
    void tellsTheServerWhoIsMeantHowLongAndForWhom() {
        mFixture.ask("/order/7");
        HeaderFields headers = mFixture.mBackends.last().request().headers();
        assertThat(headers.first("instance")).hasValue(mFixture.mBackends.last().server());
        assertThat(headers.first("remaining")).hasValue("1000");
        assertThat(headers.first("account")).hasValue("acme");
        assertThat(headers.first("key")).isEmpty();
    }

    @Test
    void anOrderThatMayHaveRunIsNeverSentAgainNorCalledNotRun() {
        Asked asked = mFixture.ask("/order/7");
        mFixture.mBackends.last().fail(BackendFailure.CONNECTION_LOST);
        assertThat(sends()).isEqualTo(1);
        assertThat(asked.response().status()).isEqualTo(502);
        assertThat(asked.response().headers().first("retry-after-ms")).isEmpty();
    }

    @Test
    void anOrderThatReachedNoServerGoesToAnother() {
        mFixture.ask("/order/7");
        String first = mFixture.mBackends.last().server();
        mFixture.mBackends.last().fail(BackendFailure.NOT_CONNECTED);
        assertThat(sends()).isEqualTo(2);
        assertThat(mFixture.mBackends.last().server()).isNotEqualTo(first);
    }

    @Test
    void anOrderThatEveryServerDeclinedIsTrulyRefused() {
        Asked asked = mFixture.ask("/order/7");
        mFixture.answer(503, "r-1", "not-run");
        mFixture.answer(503, "r-1", "not-run");
        assertThat(asked.response().status()).isEqualTo(503);
        assertThat(asked.response().headers().first("retry-after-ms")).isPresent();
    }

    /** Only the server knows whether it ran the request; a bare 503 of its own says nothing. */
    @Test
    void aPromiseThatTheServerDidNotMakeIsNotPassedOn() {
        Asked asked = mFixture.ask("/order/7");
        mFixture.answer(503, "r-1");
        assertThat(asked.response().status()).isEqualTo(502);
        assertThat(sends()).isEqualTo(1);
    }

    @Test
    void aStatusIsAskedForOnceMoreAfterAFailure() {
        Asked asked = mFixture.ask("/status/7");
        mFixture.mBackends.last().fail(BackendFailure.CONNECTION_LOST);
        assertThat(sends()).isEqualTo(2);
        mFixture.answer(500, "r-1").part("sorry").complete();
        assertThat(asked.response().status()).isEqualTo(500);
        assertThat(asked.response().body()).isEqualTo("sorry");
        assertThat(sends()).isEqualTo(2);
    }

    @Test
    void anAnswerToAnotherRequestReachesNobody() {
        Asked asked = mFixture.ask("/order/7");
        FakeBackends.Sent sent = mFixture.answer(200, "r-0");
        assertThat(asked.response().status()).isEqualTo(502);
        assertThat(sent.cancelled()).isTrue();
    }

    @Test
    void anAnswerWithoutTheServersSignatureIsNoSuccess() {
        Asked asked = mFixture.ask("/order/7");
        mFixture.answer(200, "r-1", "forged");
        assertThat(asked.response().status()).isEqualTo(502);
    }

    @Test
    void anAnswerThatBreaksOffIsVisiblyCut() {
        Asked asked = mFixture.ask("/chat/7");
        mFixture.answer(200, "r-1").part("event").fail(BackendFailure.CONNECTION_LOST);
        assertThat(asked.response().aborted()).isTrue();
        assertThat(asked.response().finished()).isFalse();
    }

    @Test
    void aCallerThatLeavesEndsTheServersWork() {
        Asked asked = mFixture.ask("/chat/7");
        asked.listener().onGone();
        assertThat(mFixture.mBackends.last().cancelled()).isTrue();
        assertThat(mFixture.mService.openRequests()).isEqualTo(0);
    }

    @Test
    void theFinalAnswerComesAtTheCallersDeadline() {
        Asked asked = mFixture.ask("/order/7");
        mFixture.mTimers.advance(Duration.ofMillis(999));
        assertThat(asked.response().over()).isFalse();
        mFixture.mTimers.advance(Duration.ofMillis(1));
        assertThat(asked.response().status()).isEqualTo(504);
        assertThat(mFixture.mBackends.last().cancelled()).isTrue();
    }

    @Test
    void theRoutesTimeoutComesFirstWhenTheCallerWouldWaitLonger() {
        Asked asked =
                mFixture.ask(
                        "/order/7",
                        ForwardFixture.headers("r-1")
                                .without(field -> field.name().equals("patience"))
                                .with("patience", "9000"));
        assertThat(mFixture.mBackends.last().request().headers().first("remaining"))
                .hasValue("2000");
        mFixture.mTimers.advance(Duration.ofSeconds(2));
        assertThat(asked.response().status()).isEqualTo(504);
    }

    @Test
    void aKeyIsNotTrustedWhenTheConfigurationIsNotConfirmed() {
        mFixture.mCatalogAgeMillis = 4700;
        assertThat(mFixture.ask("/order/7").response().status()).isEqualTo(503);
        mFixture.mCatalogAgeMillis = 0;
        mFixture.mJumped = true;
        assertThat(mFixture.ask("/order/7").response().status()).isEqualTo(503);
        assertThat(sends()).isEqualTo(0);
    }

    @Test
    void aKeyIsCheckedAgainAtEachSend() {
        Asked asked = mFixture.ask("/order/7");
        mFixture.mCatalogAgeMillis = 4700;
        mFixture.mBackends.last().fail(BackendFailure.NOT_CONNECTED);
        assertThat(sends()).isEqualTo(1);
        assertThat(asked.response().status()).isEqualTo(503);
    }

    @Test
    void whatIsUnknownIsRefusedOnlyUnderACurrentConfiguration() {
        assertThat(mFixture.ask("/nowhere/").response().status()).isEqualTo(404);
        HeaderFields stranger =
                ForwardFixture.headers("r-1")
                        .without(field -> field.name().equals("key"))
                        .with("key", "unknown");
        assertThat(mFixture.ask("/order/7", stranger).response().status()).isEqualTo(401);
        mFixture.mCatalogAgeMillis = 4500;
        assertThat(mFixture.ask("/nowhere/").response().status()).isEqualTo(503);
    }

    @Test
    void repeatsStayWithinTheFleetsBudget() {
        int repeats = 0;
        for (int request = 0; request < 300; request++) {
            int before = sends();
            mFixture.ask("/status/" + request);
            for (int send = before; send < sends(); send++) {
                mFixture.mBackends.sent().get(send).fail(BackendFailure.INCOMPLETE);
            }
            repeats += sends() - before - 1;
        }
        double bound = 300 * ForwardFixture.BOUND.ratio() + ForwardFixture.BOUND.slack();
        assertThat((double) repeats).isAtMost(bound);
        assertThat(repeats).isGreaterThan(0);
    }

    @Test
    void aStoppingRouterRefusesTrulyAndFinishesWhatItHas() {
        Asked open = mFixture.ask("/order/1");
        mFixture.mService.refuseNew();
        assertThat(mFixture.ask("/order/2").response().status()).isEqualTo(503);
        mFixture.answer(200, "r-1").complete();
        assertThat(open.response().finished()).isTrue();
    }
}
