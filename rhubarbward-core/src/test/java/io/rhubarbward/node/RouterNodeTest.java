package io.rhubarbward.node;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.store.memory.PlatformFaults;
import io.rhubarbward.testing.RecordingResponse;
import io.rhubarbward.testing.Site;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

final class RouterNodeTest {
    private static final int OK = 200;
    private static final Duration PERMIT_ROUND_TRIP = Duration.ofMillis(20);

    @Test
    void everyTurnOfAChatGoesToTheSameEngineAtEveryRouter() {
        Site site = Site.start(3);
        for (RouterNode router : site.routers()) {
            RecordingResponse response = new RecordingResponse();
            router.serve(Site.chat("returning"), response);
            site.advance(PERMIT_ROUND_TRIP);
            site.backends().last().head(OK, "application/json").part("{}").complete();
            assertThat(response.finished()).isTrue();
        }
        assertThat(site.backends().sent().stream().map(sent -> sent.server()).distinct().count())
                .isEqualTo(1);
    }

    @Test
    void anAppliedChangeTakesEffectAtEveryRouterWithinFiveSeconds() {
        Site site = Site.start(3);
        site.apply(
                Site.SETTINGS.replace(
                        "\"dc-b\": {\"state\": \"in\"}", "\"dc-b\": {\"state\": \"out\"}"));
        site.advance(Duration.ofSeconds(5));
        assertThat(
                        site.routers().stream()
                                .map(router -> router.configuration().orElseThrow().generation())
                                .toList())
                .containsExactly(2L, 2L, 2L);
    }

    @Test
    void aRouterIsNotReadyBeforeItsFirstConfiguration() {
        Site site = Site.start(0);
        site.store().faults(PlatformFaults.NONE.withDown(true));
        RouterNode router = site.addRouter("entry-1");
        site.advance(Duration.ofSeconds(10));
        assertThat(router.ready()).isFalse();
        site.store().faults(PlatformFaults.NONE);
        site.advance(Duration.ofSeconds(10));
        assertThat(router.ready()).isTrue();
    }

    /** A router that was ready before it knew an engine refused its first chats. */
    @Test
    void aRouterIsNotReadyBeforeTheVmListIsAnswered() {
        Site site = Site.start(1);
        CompletableFuture<Boolean> released = new CompletableFuture<>();
        site.holdVmListUntil(released);
        RouterNode router = site.addRouter("entry-late");
        site.advance(Duration.ofSeconds(10));
        assertThat(router.ready()).isFalse();
        released.complete(true);
        site.advance(Duration.ofSeconds(10));
        assertThat(router.ready()).isTrue();
    }

    @Test
    void aDrainWaitsForOpenRequestsAndCutsNone() {
        Site site = Site.start(1);
        RouterNode router = site.router(0);
        RecordingResponse response = new RecordingResponse();
        router.serve(Site.chat("open"), response);
        AtomicInteger cutRequests = new AtomicInteger(-1);
        router.drain(cutRequests::set);
        assertThat(router.ready()).isFalse();
        site.advance(Duration.ofSeconds(10));
        assertThat(cutRequests.get()).isEqualTo(-1);
        site.backends().last().head(OK, "application/json").part("{}").complete();
        site.advance(Duration.ofSeconds(1));
        assertThat(response.finished()).isTrue();
        assertThat(cutRequests.get()).isEqualTo(0);
    }
}
