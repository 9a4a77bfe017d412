package io.rhubarbward.daemon;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.forward.LocalRetryBudget;
import io.rhubarbward.net.loop.EventLoopTimerService;
import io.rhubarbward.standin.fleet.SampleConfig;
import io.rhubarbward.standin.fleet.ScriptedReplica;
import io.rhubarbward.standin.fleet.StoreStandin;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Fleet routers with a stand-in for the store and scripted replicas of the plain service. */
final class ScriptedFleet implements AutoCloseable {
    static final String ZONE = "a";

    /** Retries must not run out: the tests are about what a retry meets. */
    private static final LocalRetryBudget.Bound RETRY_BOUND =
            new LocalRetryBudget.Bound(10, Duration.ofSeconds(10), 1000);

    private final EventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final StoreStandin mStore =
            new StoreStandin(
                    mGroup,
                    DemoPorts.loopback(0),
                    new EventLoopTimerService(mGroup.next(), EventLog.none()));
    private final List<ScriptedReplica> mReplicas = new ArrayList<>();
    private final List<FleetRouterDaemon> mRouters = new ArrayList<>();

    ScriptedFleet() {
        SampleConfig.writeTo(mStore);
    }

    StoreStandin store() {
        return mStore;
    }

    /** Starts a replica that is not listed in the store yet. */
    ScriptedReplica startReplica(ScriptedReplica.Behaviour behaviour) {
        ScriptedReplica replica = new ScriptedReplica(mGroup, DemoPorts.loopback(0), behaviour);
        mReplicas.add(replica);
        return replica;
    }

    /** Lists a replica in the store under a name, which may be one of several. */
    void list(ScriptedReplica replica, String name) {
        mStore.put("servers", name, replica.serverSpec(SampleConfig.PLAIN_SERVICE, ZONE));
    }

    /** Starts a router and waits until it is ready. */
    FleetRouterDaemon startRouter(EventLog events) throws IOException {
        FleetRouterDaemon router =
                LocalFleet.startRouter(
                        "front-" + (mRouters.size() + 1),
                        ZONE,
                        mStore.address(),
                        RETRY_BOUND,
                        events);
        mRouters.add(router);
        LocalFleet.awaitReady(router);
        return router;
    }

    @Override
    public void close() {
        mRouters.forEach(FleetRouterDaemon::close);
        mReplicas.forEach(ScriptedReplica::close);
        mStore.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
