package io.rhubarbward.routing;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.engine.LoadReport;
import io.rhubarbward.testing.FakeBackends.Sent;
import io.rhubarbward.testing.RecordingResponse;
import io.rhubarbward.testing.Site;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class BoundedAffinityTest {
    private static final int WARM_SERVED = 1_000_000;
    private static final int CHATS = 200;
    private static final List<String> ENGINES = List.of("engine-1", "engine-2", "engine-3");

    private final Site mSite = Site.start(1);

    @Test
    void aHotChatLoadsNoEngineBeyondTheMultipleOfTheMean() {
        ENGINES.forEach(engine -> report(engine, 6));
        mSite.advance(Duration.ofSeconds(2));
        for (int i = 0; i < 12; i++) {
            mSite.router(0).serve(Site.chat("hot"), new RecordingResponse());
        }
        mSite.advance(Duration.ZERO);
        double mean = 6 + 12.0 / ENGINES.size();
        assertThat(
                        requestCountByEngine().values().stream()
                                .mapToLong(count -> count)
                                .max()
                                .orElse(0))
                .isAtMost((long) Math.ceil(1.25 * (mean + 1)));
    }

    @Test
    void chatsKeepTheirEngineWhileAnotherIsLostAndReturns() {
        Map<String, String> before = engineByChat();
        mSite.engines().silence("engine-1");
        mSite.advance(Duration.ofSeconds(5));
        Map<String, String> during = engineByChat();
        assertThat(during.values()).doesNotContain("engine-1");
        before.entrySet().stream()
                .filter(entry -> !entry.getValue().equals("engine-1"))
                .forEach(e -> assertThat(during).containsEntry(e.getKey(), e.getValue()));
        mSite.engines().idle("engine-1", "first");
        mSite.advance(Duration.ofSeconds(2));
        assertThat(engineByChat()).isEqualTo(before);
    }

    @Test
    void chatsOfALostEngineMoveWithinTheirDataCentre() {
        Map<String, String> before = engineByChat();
        mSite.engines().silence("engine-1");
        mSite.advance(Duration.ofSeconds(5));
        Map<String, String> during = engineByChat();
        Set<String> moved = new HashSet<>(before.keySet());
        moved.removeIf(chat -> !"engine-1".equals(before.get(chat)));
        assertThat(moved).isNotEmpty();
        moved.forEach(chat -> assertThat(during).containsEntry(chat, "engine-2"));
    }

    private void report(String engine, int running) {
        mSite.engines().report(engine, new LoadReport("first", running, 0, WARM_SERVED, 0));
    }

    private Map<String, Long> requestCountByEngine() {
        return mSite.backends().sent().stream()
                .collect(Collectors.groupingBy(Sent::server, Collectors.counting()));
    }

    /** Returns the engine that each chat is routed to, by sending one request at a time. */
    private Map<String, String> engineByChat() {
        return IntStream.range(0, CHATS)
                .mapToObj(i -> "chat-" + i)
                .collect(Collectors.toMap(Function.identity(), this::engineOf));
    }

    private String engineOf(String chat) {
        mSite.router(0).serve(Site.chat(chat), new RecordingResponse());
        mSite.advance(Duration.ZERO);
        Sent sent = mSite.backends().last();
        sent.head(200, "application/json").part("{}").complete();
        return sent.server();
    }
}
