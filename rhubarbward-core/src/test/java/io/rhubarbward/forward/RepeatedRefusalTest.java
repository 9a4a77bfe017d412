package io.rhubarbward.forward;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.catalog.RouteKind;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.testing.Catalogs;
import io.rhubarbward.testing.FakeBackends;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers that write an earlier refusal once more on a connection that is used again. */
final class RepeatedRefusalTest {
    private static final HeaderFields NOT_RUN = HeaderFields.of("not-run", "1");

    private final ForwardFixture mFixture =
            new ForwardFixture(Catalogs.route("order", "/order/", RouteKind.NON_IDEMPOTENT));

    /** Guards against a request that ran, or runs, and is refused as not run or sent again. */
    @ParameterizedTest
    @ValueSource(ints = {400, 421, 429, 503})
    void aRefusalThatNamesNoAttemptProvesNothingOnAKeptConnection(int status) {
        mFixture.mBackends.keepConnections();
        ForwardFixture.PendingRequest request = mFixture.send("/order/1");
        FakeBackends.Sent sent = mFixture.mBackends.last().head(status, NOT_RUN);
        assertThat(request.response().status()).isEqualTo(502);
        assertThat(sent.cancelled()).isTrue();
        assertThat(mFixture.mBackends.sent()).hasSize(1);
    }

    @Test
    void aRefusalThatNamesNoAttemptIsTakenOnANewConnection() {
        mFixture.send("/order/1");
        mFixture.mBackends.last().head(503, NOT_RUN);
        assertThat(mFixture.mBackends.sent()).hasSize(2);
    }

    @Test
    void aRefusalThatNamesAnotherAttemptProvesNothing() {
        ForwardFixture.PendingRequest request = mFixture.send("/order/1");
        mFixture.answer(503, "r-0", "not-run");
        assertThat(request.response().status()).isEqualTo(502);
        assertThat(mFixture.mBackends.sent()).hasSize(1);
    }

    /** A refusal of the first send, repeated, could not be told from one of the second. */
    @Test
    void noAttemptIsSentTwiceToOneServer() {
        ForwardFixture.PendingRequest request = mFixture.send("/order/1");
        mFixture.answer(503, "r-1", "not-run");
        mFixture.answer(503, "r-1", "not-run");
        assertThat(mFixture.mBackends.sent().stream().map(FakeBackends.Sent::server).distinct())
                .hasSize(mFixture.mBackends.sent().size());
        assertThat(request.response().status()).isEqualTo(503);
    }
}
