package io.rhubarbward.request;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.testing.FakeBackends.Sent;
import io.rhubarbward.testing.RecordingResponse;
import io.rhubarbward.testing.Site;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

final class CrashQuarantineTest {
    private static final int ROUTERS = 4;
    private static final int MAX_ENGINES = 2;
    private static final Duration PEER_TRIP = Duration.ofMillis(20);
    private static final Duration LEASES_SETTLED = Duration.ofSeconds(10);
    private static final Duration MEMORY = Duration.ofMinutes(10);

    private final Site mSite = start();
    private final Set<Sent> mSeen = new HashSet<>();

    @Test
    void aRequestThatCrashesEnginesTakesDownTwoHoweverOftenItIsSent() {
        for (int round = 0; round < 20; round++) {
            serve(round % ROUTERS, "poison");
            crashAll();
        }
        assertThat(mSite.backends().sent()).hasSize(MAX_ENGINES);
        RecordingResponse refused = serve(3, "poison");
        assertThat(refused.status()).isEqualTo(422);
        assertThat(refused.body()).contains("\"code\":\"quarantined\"");
        assertThat(refused.body()).contains("\"run\":\"not-run\"");
    }

    /** Space: where and when each of ten copies comes, once the peers have heard of a crash. */
    @Property(tries = 50, seed = "7")
    void noOrderOfRoutersGetsAThirdEngine(@ForAll @IntRange(min = 0, max = 1 << 20) int choices) {
        Site site = start();
        int bits = choices;
        for (int copy = 0; copy < 10; copy++) {
            site.router(bits % ROUTERS).serve(Site.chat("poison"), new RecordingResponse());
            bits /= ROUTERS;
            site.advance(PEER_TRIP);
            site.backends().last().fail(BackendFailure.CONNECTION_LOST);
            site.advance(PEER_TRIP);
        }
        assertThat(site.backends().sent()).hasSize(MAX_ENGINES);
    }

    @Test
    void aCopyThatComesWhileTheTrialRunsIsRefused() {
        serve(0, "poison");
        mSite.backends().last().fail(BackendFailure.CONNECTION_LOST);
        mSite.advance(PEER_TRIP);
        RecordingResponse copy = serve(1, "poison");
        assertThat(copy.status()).isEqualTo(503);
        assertThat(copy.body()).contains("\"code\":\"crash-suspect\"");
        assertThat(mSite.backends().sent()).hasSize(2);
    }

    @Test
    void bystandersOfACrashAreTriedAgainAndCleared() {
        RecordingResponse[] responses = new RecordingResponse[5];
        for (int i = 0; i < responses.length; i++) {
            responses[i] = serve(i % ROUTERS, "bystander-" + i);
        }
        crashAll();
        for (Sent sent : mSite.backends().sent().subList(5, 10)) {
            sent.head(200, "application/json").part("{}").complete();
        }
        mSite.advance(PEER_TRIP);
        for (int i = 0; i < responses.length; i++) {
            assertThat(responses[i].finished()).isTrue();
            assertThat(responses[i].status()).isEqualTo(200);
            assertThat(serve(i % ROUTERS, "bystander-" + i).ended()).isFalse();
        }
    }

    @Test
    void aStreamThatIsCutMakesItsRequestSuspectEverywhere() {
        serve(0, "poison");
        mSite.backends().last().head(200, "text/event-stream").part("data: {}\n\n");
        mSite.backends().last().fail(BackendFailure.CONNECTION_LOST);
        mSite.advance(PEER_TRIP);
        serve(1, "poison");
        crashAll();
        assertThat(serve(2, "poison").status()).isEqualTo(422);
        assertThat(mSite.backends().sent()).hasSize(MAX_ENGINES);
    }

    @Test
    void aRouterThatJoinsLaterIsToldOfSuspects() {
        serve(0, "poison");
        crashAll();
        crashAll();
        mSite.addRouter("entry-9");
        mSite.advance(Duration.ofSeconds(5));
        assertThat(serve(ROUTERS, "poison").status()).isEqualTo(422);
    }

    @Test
    void routersThatCannotHearEachOtherLoseTwoEnginesEach() {
        mSite.peers().cut((from, to) -> true);
        for (int round = 0; round < 20; round++) {
            serve(round % 2, "poison");
            crashAll();
        }
        assertThat(mSite.backends().sent().size()).isAtMost(2 * MAX_ENGINES);
    }

    @Test
    void aCrashIsForgottenAfterAWhile() {
        serve(0, "poison");
        crashAll();
        crashAll();
        mSite.advance(MEMORY);
        assertThat(serve(1, "poison").ended()).isFalse();
    }

    /** Starts routers whose engines, cold as they are, bear all of a test's requests. */
    private static Site start() {
        Site site = Site.start(ROUTERS);
        site.apply(
                Site.SETTINGS.replace(
                        "\"model\": \"m\"", "\"model\": \"m\", \"coldConcurrency\": 16"));
        site.advance(LEASES_SETTLED);
        return site;
    }

    private RecordingResponse serve(int router, String chat) {
        RecordingResponse response = new RecordingResponse();
        mSite.router(router).serve(Site.chat(chat), response);
        mSite.advance(PEER_TRIP);
        return response;
    }

    /** Loses the connection of every call that is open. */
    private void crashAll() {
        for (Sent sent : mSite.backends().sent().toArray(Sent[]::new)) {
            if (mSeen.add(sent)) {
                sent.fail(BackendFailure.CONNECTION_LOST);
            }
        }
        mSite.advance(PEER_TRIP);
    }
}
