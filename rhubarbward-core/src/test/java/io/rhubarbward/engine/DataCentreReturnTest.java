package io.rhubarbward.engine;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.testing.FakeBackends.Sent;
import io.rhubarbward.testing.RecordingResponse;
import io.rhubarbward.testing.Site;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A data centre that is taken out of service, restarts and returns under load. */
final class DataCentreReturnTest {
    private static final int OK = 200;
    private static final int COLD_CONCURRENCY = 1;
    private static final int SERVED_AFTER_RESTART = 2;
    private static final List<String> ENGINES = List.of("engine-1", "engine-2");
    private static final String SETTINGS_WITH_DC_A_OUT =
            Site.SETTINGS.replace(
                    "\"dc-a\": {\"state\": \"in\"}", "\"dc-a\": {\"state\": \"out\"}");

    private final Site mSite = Site.start(3);
    private final List<Sent> mCompleted = new ArrayList<>();
    private int mNextChat;

    @Test
    void noEngineOfADataCentreThatReturnsColdGetsMoreThanItsColdConcurrency() {
        mSite.apply(SETTINGS_WITH_DC_A_OUT);
        mSite.advance(Duration.ofSeconds(3));
        ENGINES.forEach(e -> mSite.engines().report(e, new LoadReport("second", 0, 0, 0, 0)));
        mSite.advance(Duration.ofSeconds(2));
        assertThat(open()).isEmpty();
        mSite.apply(Site.SETTINGS);
        for (int round = 0; round < 50; round++) {
            sendRequestsToAllRouters();
            ENGINES.forEach(e -> assertThat(open(e)).isAtMost(COLD_CONCURRENCY));
        }
        ENGINES.forEach(engine -> assertThat(open(engine)).isEqualTo(COLD_CONCURRENCY));
    }

    @Test
    void aDataCentreThatIsOutGetsNoNewRequestsAfterThreeSeconds() {
        mSite.apply(SETTINGS_WITH_DC_A_OUT);
        mSite.advance(Duration.ofSeconds(3));
        int before = mSite.backends().sent().size();
        for (int round = 0; round < 50; round++) {
            sendRequestsToAllRouters();
        }
        assertThat(
                        mSite.backends().sent().stream()
                                .skip(before)
                                .map(Sent::server)
                                .filter(ENGINES::contains)
                                .toList())
                .isEmpty();
    }

    @Test
    void aRestartUnderLoadIsDetectedByAllRoutersWithTheNextReport() {
        ENGINES.forEach(e -> mSite.engines().report(e, new LoadReport("first", 16, 0, 99, 0)));
        mSite.advance(Duration.ofSeconds(2));
        sendRequestsToAllRouters();
        String engine = ENGINES.get(0);
        mSite.engines().report(engine, new LoadReport("first", 0, 0, SERVED_AFTER_RESTART, 0));
        mSite.advance(Duration.ofSeconds(2));
        open().forEach(this::complete);
        mSite.advance(Duration.ofSeconds(1));
        int before = mSite.backends().sent().size();
        sendRequestsToAllRouters();
        assertThat(
                        mSite.backends().sent().stream()
                                .skip(before)
                                .filter(sent -> sent.server().equals(engine))
                                .count())
                .isAtMost(SlowStartRamp.capacity(assistantService(), SERVED_AFTER_RESTART));
    }

    private io.rhubarbward.config.Service assistantService() {
        return mSite.router(0).configuration().orElseThrow().settings().services().values().stream()
                .filter(service -> service.name().equals("assistant"))
                .findFirst()
                .orElseThrow();
    }

    private void sendRequestsToAllRouters() {
        for (int request = 0; request < 30; request++) {
            mSite.router(request % 3).serve(Site.chat("c" + mNextChat++), new RecordingResponse());
        }
        mSite.advance(Duration.ofMillis(100));
    }

    private void complete(Sent sent) {
        mCompleted.add(sent);
        sent.head(OK, "application/json").part("{}").complete();
    }

    private List<Sent> open() {
        return mSite.backends().sent().stream()
                .filter(sent -> ENGINES.contains(sent.server()))
                .filter(sent -> !mCompleted.contains(sent))
                .toList();
    }

    private int open(String engine) {
        return (int) open().stream().filter(sent -> sent.server().equals(engine)).count();
    }
}
