package io.rhubarbward.daemon;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.forward.LocalRetryBudget;
import io.rhubarbward.net.http.HttpListener;
import io.rhubarbward.net.loop.EventLoopTimerService;
import io.rhubarbward.node.FleetBounds;
import io.rhubarbward.node.FleetNodeSettings;
import io.rhubarbward.standin.fleet.CallerStandin;
import io.rhubarbward.standin.fleet.ReplicaStandin;
import io.rhubarbward.standin.fleet.SampleConfig;
import io.rhubarbward.standin.fleet.StoreStandin;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.net.URL;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A fleet router with stand-ins for the platform's store and two replicas, in one process.
 *
 * <pre>{@code
 * try (LocalFleet fleet = LocalFleet.start(events)) {
 *     fleet.awaitReady();
 *     String answer = fleet.send("POST", "/plain/7", "attempt-1").body();
 * }
 * }</pre>
 */
public final class LocalFleet implements AutoCloseable {
    private static final String ZONE = "a";
    private static final String OTHER_ZONE = "b";
    private static final int OK = 200;
    private static final long READY_TIMEOUT_MILLIS = 20_000;
    private static final LocalRetryBudget.Bound RETRY_BOUND =
            new LocalRetryBudget.Bound(0.2, Duration.ofSeconds(10), 50);

    private final EventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final EventLoopTimerService mTimers;
    private final StoreStandin mStore;
    private final ReplicaStandin mOrdersReplica;
    private final ReplicaStandin mChatReplica;
    private final FleetRouterDaemon mRouter;
    private final List<FleetRouterDaemon> mMoreRouters = new ArrayList<>();
    private final EventLog mEvents;

    private LocalFleet(EventLog events) {
        mEvents = events;
        mTimers = new EventLoopTimerService(mGroup.next(), events);
        mStore = new StoreStandin(mGroup, DemoPorts.loopback(0), mTimers);
        mOrdersReplica = new ReplicaStandin("i-orders", mGroup, DemoPorts.loopback(0), mTimers);
        mChatReplica = new ReplicaStandin("i-chat", mGroup, DemoPorts.loopback(0), mTimers);
        SampleConfig.writeTo(mStore, mOrdersReplica, mChatReplica);
        mRouter = startRouter("front-1", ZONE);
    }

    private FleetRouterDaemon startRouter(String name, String dataCentre) {
        return startRouter(name, dataCentre, mStore.address(), RETRY_BOUND, mEvents);
    }

    /** Starts a router on free ports of 127.0.0.1. */
    static FleetRouterDaemon startRouter(
            String name,
            String dataCentre,
            String storeAddress,
            LocalRetryBudget.Bound retryBound,
            EventLog events) {
        FleetNodeSettings settings =
                new FleetNodeSettings(
                        name,
                        dataCentre,
                        DemoPorts.loopback(0),
                        DemoPorts.loopback(0),
                        DemoPorts.loopback(0),
                        DemoPorts.loopback(0),
                        storeAddress,
                        0,
                        0,
                        new FleetBounds(
                                true,
                                Duration.ofSeconds(5),
                                retryBound,
                                0.1,
                                Duration.ofSeconds(8)));
        return FleetRouterDaemon.start(
                settings, HttpListener.bind(DemoPorts.loopback(0)), 0, events);
    }

    /** Starts a second router in the same data centre and one in another. */
    public void startMoreRouters() {
        mMoreRouters.add(startRouter("front-2", ZONE));
        mMoreRouters.add(startRouter("front-3", OTHER_ZONE));
    }

    /** Waits until one of the routers is the relay of another. */
    public void awaitRelay() throws IOException {
        long deadlineMillis = mTimers.nowMillis() + READY_TIMEOUT_MILLIS;
        while (Stream.concat(Stream.of(mRouter), mMoreRouters.stream())
                .allMatch(router -> router.relayFollowers().join() == 0)) {
            if (mTimers.nowMillis() > deadlineMillis) {
                throw new IOException(
                        "no router was a relay within " + READY_TIMEOUT_MILLIS + " ms");
            }
        }
    }

    /** Starts everything. */
    public static LocalFleet start(EventLog events) {
        return new LocalFleet(events);
    }

    /** Returns the store stand-in. */
    public StoreStandin store() {
        return mStore;
    }

    /** Returns the replica of the plain service. */
    public ReplicaStandin ordersReplica() {
        return mOrdersReplica;
    }

    /** Returns the router. */
    public FleetRouterDaemon router() {
        return mRouter;
    }

    /** Waits until the router answers a readiness check with ready. */
    public void awaitReady() throws IOException {
        awaitReady(mRouter);
    }

    /** Waits until a router answers a readiness check with ready. */
    static void awaitReady(FleetRouterDaemon router) throws IOException {
        long deadlineNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MILLIS);
        while (!ready(router)) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new IOException(
                        "the router was not ready within " + READY_TIMEOUT_MILLIS + " ms");
            }
            Thread.onSpinWait();
        }
    }

    /** Returns whether the router answers a readiness check with ready. */
    public boolean ready() throws IOException {
        return ready(mRouter);
    }

    private static boolean ready(FleetRouterDaemon router) throws IOException {
        URL url = URI.create("http://127.0.0.1:" + router.readinessPort() + "/").toURL();
        return ((HttpURLConnection) url.openConnection()).getResponseCode() == OK;
    }

    /** Sends a request and waits for its answer. */
    public CallerStandin.Reply send(String method, String path, String attemptId)
            throws IOException {
        return new CallerStandin(mRouter.callersPort()).send(method, path, attemptId);
    }

    @Override
    public void close() {
        mMoreRouters.forEach(FleetRouterDaemon::close);
        mRouter.close();
        mOrdersReplica.close();
        mChatReplica.close();
        mStore.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
