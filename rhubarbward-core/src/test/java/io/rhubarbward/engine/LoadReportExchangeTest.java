package io.rhubarbward.engine;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.node.RouterNode;
import io.rhubarbward.testing.Site;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** What routers know of engines that other routers poll. */
final class LoadReportExchangeTest {
    private static final int ROUTERS = 9;
    private static final int WARM_SERVED = 1_000_000;
    private static final String ENGINE = "engine-1";

    private final Site mSite = Site.start(ROUTERS);

    @Test
    void oneRouterPollsAnEngineForAll() {
        mSite.advance(Duration.ofSeconds(5));
        int before = mSite.engines().pollCount(ENGINE);
        mSite.advance(Duration.ofSeconds(60));
        assertThat(mSite.engines().pollCount(ENGINE) - before).isAtMost(61);
    }

    @Test
    void everyRouterLearnsOfAColdEngineWithinTwoSeconds() {
        mSite.engines().report(ENGINE, new LoadReport("second", 0, 0, 0, 0));
        mSite.advance(Duration.ofSeconds(2));
        assertThat(mSite.routers().stream().map(this::state).distinct().toList())
                .containsExactly(BackendState.COLD);
    }

    @Test
    void aCacheLossThatOnlyTheOwnerCanSeeIsSharedWithAllRouters() {
        mSite.engines().report(ENGINE, new LoadReport("first", 0, 0, WARM_SERVED, 50_000));
        mSite.advance(Duration.ofSeconds(2));
        mSite.engines().report(ENGINE, new LoadReport("first", 0, 0, WARM_SERVED + 1, 0));
        mSite.advance(Duration.ofSeconds(2));
        assertThat(mSite.routers().stream().map(this::state).distinct().toList())
                .containsExactly(BackendState.COLD);
    }

    @Test
    void routersThatReceiveNoPeerMessagesPollTheEnginesThemselves() {
        mSite.peers().cut((from, to) -> true);
        mSite.advance(Duration.ofSeconds(10));
        mSite.engines().report(ENGINE, new LoadReport("second", 0, 0, 0, 0));
        mSite.advance(Duration.ofSeconds(4));
        assertThat(mSite.routers().stream().map(this::state).distinct().toList())
                .containsExactly(BackendState.COLD);
    }

    @Test
    void anEngineThatNoRouterReachesIsLostAtAllRouters() {
        mSite.engines().silence(ENGINE);
        mSite.advance(Duration.ofSeconds(7));
        assertThat(mSite.routers().stream().map(this::state).distinct().toList())
                .containsExactly(BackendState.LOST);
    }

    private BackendState state(RouterNode router) {
        return router.backends().stream()
                .filter(status -> status.server().name().equals(ENGINE))
                .findFirst()
                .orElseThrow()
                .state();
    }
}
