package io.rhubarbward.node;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.config.DataCentre;
import io.rhubarbward.testing.FakeBackends;
import io.rhubarbward.testing.RecordingResponse;
import io.rhubarbward.testing.Site;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class DataCentreOutTest {
    private static final int OK = 200;
    private static final int ROUTERS = 9;
    private static final int CHATS = 60;
    private static final Duration PROPAGATION_TIME = Duration.ofSeconds(3);
    private static final Duration PERMIT_ROUND_TRIP = Duration.ofMillis(20);

    @Test
    void aDataCentreThatIsOutGetsNoNewRequestsAndItsOpenStreamsFinish() {
        Site site = Site.start(ROUTERS);
        RecordingResponse response = new RecordingResponse();
        FakeBackends.Sent running = openStreamIn(site, "engine-3", response);
        setState(site, "dc-b", DataCentre.State.OUT);
        site.advance(PROPAGATION_TIME);
        assertThat(serversOfNewChats(site).values()).doesNotContain("engine-3");
        running.head(OK, "text/event-stream").part("data: end\n\n").complete();
        assertThat(response.finished()).isTrue();
        assertThat(response.aborted()).isFalse();
    }

    @Test
    void chatsReturnToTheirFormerEngineWhenTheDataCentreIsInAgain() {
        Site site = Site.start(ROUTERS);
        Map<String, String> before = serversOfNewChats(site);
        assertThat(before.values()).contains("engine-3");
        setState(site, "dc-b", DataCentre.State.OUT);
        site.advance(PROPAGATION_TIME);
        assertThat(serversOfNewChats(site).values()).doesNotContain("engine-3");
        setState(site, "dc-b", DataCentre.State.IN);
        site.advance(PROPAGATION_TIME);
        assertThat(serversOfNewChats(site)).isEqualTo(before);
    }

    @Test
    void routersOfADataCentreThatIsOutAreNotReady() {
        Site site = Site.start(2);
        RouterNode routerInDcB = site.addRouter("entry-b", "dc-b", List.of());
        site.advance(PROPAGATION_TIME);
        assertThat(routerInDcB.ready()).isTrue();
        setState(site, "dc-b", DataCentre.State.OUT);
        site.advance(PROPAGATION_TIME);
        assertThat(routerInDcB.ready()).isFalse();
        assertThat(site.router(0).ready()).isTrue();
    }

    private static void setState(Site site, String name, DataCentre.State state) {
        site.configs().dataCentres().setState(name, state, name + site.timers().nowMillis());
        site.timers().runDue();
    }

    private static FakeBackends.Sent openStreamIn(
            Site site, String server, RecordingResponse response) {
        String chat =
                serversOfNewChats(site).entrySet().stream()
                        .filter(entry -> entry.getValue().equals(server))
                        .map(Map.Entry::getKey)
                        .findFirst()
                        .orElseThrow();
        site.router(0).serve(Site.chat(chat), response);
        site.advance(PERMIT_ROUND_TRIP);
        return site.backends().last();
    }

    /** Serves each chat to its end, at the routers in turn; returns the chats' servers by chat. */
    private static Map<String, String> serversOfNewChats(Site site) {
        Map<String, String> servers = new TreeMap<>();
        IntStream.range(0, CHATS)
                .forEach(
                        number -> {
                            String chat = "chat-" + number;
                            RouterNode router = site.router(number % site.routers().size());
                            router.serve(Site.chat(chat), new RecordingResponse());
                            site.advance(PERMIT_ROUND_TRIP);
                            servers.put(chat, site.backends().last().server());
                            site.backends().last().head(OK, "application/json").complete();
                        });
        return servers;
    }
}
