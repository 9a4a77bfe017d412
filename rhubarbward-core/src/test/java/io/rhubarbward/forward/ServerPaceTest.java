package io.rhubarbward.forward;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.catalog.RouteKind;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.testing.Catalogs;
import io.rhubarbward.testing.FakeBackends;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** What answers say of the servers' pace reaches placement. */
final class ServerPaceTest {
    private final ForwardFixture mFixture =
            new ForwardFixture(
                    Catalogs.route("status", "/status/", RouteKind.IDEMPOTENT),
                    Catalogs.route("chat", "/chat/", RouteKind.STREAMING));

    private void chat(String id, String load) {
        mFixture.send("/chat/1", ForwardFixture.headers(id));
        mFixture.mBackends
                .last()
                .head(200, HeaderFields.of("id", id).with("load", load))
                .part("data: x\n\n")
                .complete();
    }

    /** Sends two requests at once, one to each plain server; o-1 takes 250 ms and o-2 50 ms. */
    private void twoStatusRequests(int number) {
        send("first-" + number);
        FakeBackends.Sent first = mFixture.mBackends.last();
        send("second-" + number);
        FakeBackends.Sent second = mFixture.mBackends.last();
        boolean firstIsSlow = first.server().equals("o-1");
        mFixture.mTimers.advance(Duration.ofMillis(50));
        answer(firstIsSlow ? second : first, (firstIsSlow ? "second-" : "first-") + number);
        mFixture.mTimers.advance(Duration.ofMillis(200));
        answer(firstIsSlow ? first : second, (firstIsSlow ? "first-" : "second-") + number);
    }

    private void send(String id) {
        mFixture.send("/status/1", ForwardFixture.headers(id));
    }

    private static void answer(FakeBackends.Sent sent, String id) {
        sent.head(200, HeaderFields.of("id", id)).part("x").complete();
    }

    /** Otherwise a server that states that it is slow for good keeps its requests. */
    @Test
    void aStatedSlowdownThatLastsIsLogged() {
        for (int request = 0; request < 80; request++) {
            chat("r-" + request, "1,2.5");
            mFixture.mTimers.advance(Duration.ofMillis(50));
        }
        assertThat(mFixture.mEvents.lastFields(LogEvent.BACKEND_PACE_CHANGED))
                .contains(EventField.of("source", "stated"));
    }

    /** Plain servers report no load; only their response times tell how slow they are. */
    @Test
    void thePaceOfAPlainServerComesFromItsResponseTimes() {
        chat("r-0", "1,2.5");
        for (int pair = 0; pair < 30; pair++) {
            twoStatusRequests(pair);
        }
        assertThat(mFixture.mEvents.lastFields(LogEvent.BACKEND_PACE_CHANGED))
                .containsAtLeast(
                        EventField.of("server", "o-1"), EventField.of("source", "answers"));
    }

    /** Deployments whose servers share no machines are served, and logged, as before. */
    @Test
    void responseTimesAreNotComparedBeforeASlowdownIsStated() {
        chat("r-0", "1");
        for (int pair = 0; pair < 30; pair++) {
            twoStatusRequests(pair);
        }
        assertThat(mFixture.mEvents.logged()).doesNotContain(LogEvent.BACKEND_PACE_CHANGED);
    }
}
