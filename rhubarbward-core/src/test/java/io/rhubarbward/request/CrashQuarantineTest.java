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

/** Tests that a request that crashes engines reaches at most two, whichever routers get it. */
final class CrashQuarantineTest {
    private static final int ROUTERS = 4;
    private static final int MAX_ENGINES = 2;
    private static final Duration PEER_LATENCY = Duration.ofMillis(20);
    private static final Duration LEASE_SETTLING_TIME = Duration.ofSeconds(10);
    private static final Duration SUSPICION_TTL = Duration.ofMinutes(10);

    private final Site mSite = startSite();
    private final Set<Sent> mFailedCalls = new HashSet<>();

    @Test
    void crashingRequestReachesTwoEnginesHoweverOftenItIsSent() {
        for (int round = 0; round < 20; round++) {
            serve(round % ROUTERS, "poison");
            failOpenCalls();
        }
        assertThat(mSite.backends().sent()).hasSize(MAX_ENGINES);
        RecordingResponse refused = serve(3, "poison");
        assertThat(refused.status()).isEqualTo(422);
        assertThat(refused.body()).contains("\"code\":\"quarantined\"");
        assertThat(refused.body()).contains("\"run\":\"not-run\"");
    }

    /** Samples the orders in which ten copies reach the routers, each after the last notices. */
    @Property(tries = 50, seed = "7")
    void crashingRequestReachesTwoEnginesInAnyOrderOfRouters(
            @ForAll @IntRange(min = 0, max = 1 << 20) int routerChoices) {
        Site site = startSite();
        int remainingChoices = routerChoices;
        for (int copy = 0; copy < 10; copy++) {
            site.router(remainingChoices % ROUTERS)
                    .serve(Site.chat("poison"), new RecordingResponse());
            remainingChoices /= ROUTERS;
            site.advance(PEER_LATENCY);
            site.backends().last().fail(BackendFailure.CONNECTION_LOST);
            site.advance(PEER_LATENCY);
        }
        assertThat(site.backends().sent()).hasSize(MAX_ENGINES);
    }

    @Test
    void copyIsRefusedWhileTheTrialRuns() {
        serve(0, "poison");
        mSite.backends().last().fail(BackendFailure.CONNECTION_LOST);
        mSite.advance(PEER_LATENCY);
        RecordingResponse copy = serve(1, "poison");
        assertThat(copy.status()).isEqualTo(503);
        assertThat(copy.body()).contains("\"code\":\"crash-suspect\"");
        assertThat(mSite.backends().sent()).hasSize(2);
    }

    @Test
    void requestsInFlightAtACrashAreRetriedAndCleared() {
        RecordingResponse[] responses = new RecordingResponse[5];
        for (int i = 0; i < responses.length; i++) {
            responses[i] = serve(i % ROUTERS, "bystander-" + i);
        }
        failOpenCalls();
        for (Sent sent : mSite.backends().sent().subList(5, 10)) {
            sent.head(200, "application/json").part("{}").complete();
        }
        mSite.advance(PEER_LATENCY);
        for (int i = 0; i < responses.length; i++) {
            assertThat(responses[i].finished()).isTrue();
            assertThat(responses[i].status()).isEqualTo(200);
            assertThat(serve(i % ROUTERS, "bystander-" + i).ended()).isFalse();
        }
    }

    @Test
    void cutStreamMakesItsRequestSuspectAtEveryRouter() {
        serve(0, "poison");
        mSite.backends().last().head(200, "text/event-stream").part("data: {}\n\n");
        mSite.backends().last().fail(BackendFailure.CONNECTION_LOST);
        mSite.advance(PEER_LATENCY);
        serve(1, "poison");
        failOpenCalls();
        assertThat(serve(2, "poison").status()).isEqualTo(422);
        assertThat(mSite.backends().sent()).hasSize(MAX_ENGINES);
    }

    @Test
    void joiningRouterIsNotifiedOfSuspects() {
        serve(0, "poison");
        failOpenCalls();
        failOpenCalls();
        mSite.addRouter("entry-9");
        mSite.advance(Duration.ofSeconds(5));
        assertThat(serve(ROUTERS, "poison").status()).isEqualTo(422);
    }

    @Test
    void partitionedRoutersLoseAtMostTwoEnginesEach() {
        mSite.peers().cut((from, to) -> true);
        for (int round = 0; round < 20; round++) {
            serve(round % 2, "poison");
            failOpenCalls();
        }
        assertThat(mSite.backends().sent().size()).isAtMost(2 * MAX_ENGINES);
    }

    @Test
    void crashIsForgottenAfterTenMinutes() {
        serve(0, "poison");
        failOpenCalls();
        failOpenCalls();
        mSite.advance(SUSPICION_TTL);
        assertThat(serve(1, "poison").ended()).isFalse();
    }

    /** Starts routers whose engines have capacity for all requests of a test even when cold. */
    private static Site startSite() {
        Site site = Site.start(ROUTERS);
        site.apply(
                Site.SETTINGS.replace(
                        "\"model\": \"m\"", "\"model\": \"m\", \"coldConcurrency\": 16"));
        site.advance(LEASE_SETTLING_TIME);
        return site;
    }

    private RecordingResponse serve(int router, String chat) {
        RecordingResponse response = new RecordingResponse();
        mSite.router(router).serve(Site.chat(chat), response);
        mSite.advance(PEER_LATENCY);
        return response;
    }

    /** Fails every open call as if its engine had crashed. */
    private void failOpenCalls() {
        for (Sent sent : mSite.backends().sent().toArray(Sent[]::new)) {
            if (mFailedCalls.add(sent)) {
                sent.fail(BackendFailure.CONNECTION_LOST);
            }
        }
        mSite.advance(PEER_LATENCY);
    }
}
