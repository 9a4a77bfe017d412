package io.rhubarbward.daemon;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.rhubarbward.catalog.CallerLimits;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.net.backend.AsyncBackendClient;
import io.rhubarbward.net.backend.HttpClients;
import io.rhubarbward.net.http.HttpHandler;
import io.rhubarbward.net.http.HttpLimits;
import io.rhubarbward.net.http.HttpListener;
import io.rhubarbward.net.http.JsonResponses;
import io.rhubarbward.net.loop.EventLoopTimer;
import io.rhubarbward.net.loop.EventLoopTimerService;
import io.rhubarbward.net.peer.ThriftPeerTransport;
import io.rhubarbward.node.FleetNodeSettings;
import io.rhubarbward.node.FleetPorts;
import io.rhubarbward.node.FleetRouter;
import io.rhubarbward.platform.PlatformAdapter;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.jspecify.annotations.Nullable;

/**
 * A router of the fleet as a process: a {@link FleetRouter} with sockets around it, all on one
 * event loop.
 *
 * <pre>{@code
 * ServerSocketChannel callers = HttpListener.bind(settings.callers());
 * FleetRouterDaemon daemon =
 *         FleetRouterDaemon.start(settings, callers, FleetRouterDaemon.METRICS_PORT, events);
 * daemon.stop().join();
 * }</pre>
 */
public final class FleetRouterDaemon implements AutoCloseable {
    /** The port of the metrics on every VM, as the deployment states it. */
    public static final int METRICS_PORT = 9464;

    /** How long new requests are served after a stop began: the balancer needs two seconds. */
    private static final Duration NOTICE = Duration.ofMillis(2800);

    /** Kept back from the time that a stop may take, for the process to end by itself. */
    private static final Duration EXIT_MARGIN = Duration.ofMillis(400);

    /** How long callers wait for a starting router at most: they give a node one second. */
    private static final Duration PRIMING = Duration.ofMillis(600);

    private static final Duration PRIMING_CHECK_PERIOD = Duration.ofMillis(5);

    private static final Duration STOP_CHECK_PERIOD = Duration.ofMillis(50);

    /** How long a request's body may take to arrive: longer than callers wait for an answer. */
    private static final int REQUEST_READ_MILLIS = 15_000;

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final EventLog mEvents;
    private final EventLoopGroup mGroup =
            new NioEventLoopGroup(1, new DefaultThreadFactory("router"));
    private final AsyncHttpClient mClient;
    private final EventLoopTimerService mTimers;
    private final ThriftPeerTransport mPeers;
    private final FleetRouter mRouter;
    private final ServerSocketChannel mCallerSocket;
    private @Nullable HttpListener mCallers;
    private final HttpListener mReadiness;
    private final HttpListener mMetrics;
    private volatile FleetNodeSettings mSettings;
    private volatile boolean mStopping;
    private final CompletableFuture<Integer> mStopped = new CompletableFuture<>();

    private FleetRouterDaemon(
            FleetNodeSettings settings,
            ServerSocketChannel callers,
            int metricsPort,
            EventLog events) {
        mCallerSocket = callers;
        mSettings = settings;
        mEvents = events;
        mTimers = new EventLoopTimerService(mGroup.next(), events);
        EventLoopTimer timer = new EventLoopTimer(mGroup.next(), events);
        PrometheusRegistry metrics = new PrometheusRegistry();
        mClient = HttpClients.openOnEventLoop(mGroup, timer, PlatformAdapter.ANSWER_ID_HEADER);
        mPeers =
                new ThriftPeerTransport(
                        settings.vm(), settings.peers(), mGroup, mTimers, events, metrics);
        mRouter =
                new FleetRouter(
                        settings,
                        new FleetPorts(
                                mTimers,
                                new SplittableRandom(),
                                events,
                                metrics,
                                new AsyncBackendClient(mClient, mTimers),
                                PlatformAdapter.dialect(),
                                mPeers,
                                PlatformAdapter.store(mClient, () -> mSettings.store(), mTimers)));
        mReadiness = internal(settings.readiness(), this::answerReadiness);
        mMetrics =
                internal(
                        new InetSocketAddress(settings.callers().getAddress(), metricsPort),
                        new MetricsEndpoint(metrics));
    }

    private HttpListener internal(InetSocketAddress address, HttpHandler handler) {
        return HttpListener.open(mGroup, address, mTimers, () -> HttpLimits.INTERNAL, handler);
    }

    private CallerListener answerReadiness(CallerRequest request, CallerResponse response) {
        boolean ready = ready();
        return JsonResponses.send(response, ready ? OK : UNAVAILABLE, Map.of("ready", ready));
    }

    /** Returns whether the balancer should send new connections here. */
    boolean ready() {
        return !mStopping && mRouter.ready();
    }

    /**
     * Starts a router; it is ready once it has read the store.
     *
     * @param callers a bound socket, at which callers may be waiting already
     */
    public static FleetRouterDaemon start(
            FleetNodeSettings settings,
            ServerSocketChannel callers,
            int metricsPort,
            EventLog events) {
        FleetRouterDaemon daemon = new FleetRouterDaemon(settings, callers, metricsPort, events);
        daemon.mTimers.execute(
                () -> {
                    daemon.mRouter.start();
                    daemon.acceptWhenPrimed(daemon.mTimers.nowMillis() + PRIMING.toMillis());
                });
        return daemon;
    }

    /** Callers wait a moment rather than be refused by a router that is about to know. */
    private void acceptWhenPrimed(long limitMillis) {
        if (!mRouter.primed() && mTimers.nowMillis() < limitMillis) {
            mTimers.after(PRIMING_CHECK_PERIOD, () -> acceptWhenPrimed(limitMillis));
            return;
        }
        mCallers = HttpListener.open(mGroup, mCallerSocket, mTimers, this::limits, mRouter::serve);
        mEvents.log(LogEvent.ROUTER_READY, EventField.of("primed", mRouter.primed()));
    }

    /** Returns the port that callers use. */
    public int callersPort() {
        return mCallerSocket.socket().getLocalPort();
    }

    /** Returns the port at which the balancer asks whether the router is ready. */
    public int readinessPort() {
        return mReadiness.port();
    }

    private HttpLimits limits() {
        return mRouter.limits().map(FleetRouterDaemon::limits).orElse(HttpLimits.INTERNAL);
    }

    private static HttpLimits limits(CallerLimits limits) {
        return new HttpLimits(
                limits.maxHeadBytes(),
                limits.maxBodyBytes(),
                REQUEST_READ_MILLIS,
                limits.idleMillis());
    }

    /** Takes new settings of the VM; listening addresses stay as they are until a restart. */
    public void reload(FleetNodeSettings settings) {
        mTimers.execute(
                () -> {
                    FleetNodeSettings before = mSettings;
                    mSettings = settings;
                    if (!before.equals(settings)) {
                        mEvents.log(
                                LogEvent.SETTINGS_RELOADED,
                                EventField.of("before", before),
                                EventField.of("now", settings));
                    }
                });
    }

    /** Begins a planned stop; completes with the number of requests that it had to cut. */
    public CompletableFuture<Integer> stop() {
        // The event loop may answer the balancer before it comes to the task below.
        mStopping = true;
        mTimers.execute(
                () -> {
                    mRouter.beginStop();
                    if (mCallers != null) {
                        mCallers.disableKeepAlive();
                    }
                    mTimers.after(NOTICE, this::finish);
                });
        return mStopped;
    }

    private void finish() {
        mRouter.refuseNew();
        if (mCallers != null) {
            mCallers.closeIdleConnections();
        }
        Duration rest = mSettings.bounds().grace().minus(NOTICE).minus(EXIT_MARGIN);
        awaitEnd(mTimers.nowMillis() + rest.toMillis());
    }

    private void awaitEnd(long limitMillis) {
        int open = mRouter.open();
        if (open > 0 && mTimers.nowMillis() < limitMillis) {
            mTimers.after(STOP_CHECK_PERIOD, () -> awaitEnd(limitMillis));
            return;
        }
        mEvents.log(
                open == 0 ? LogEvent.ROUTER_STOPPED : LogEvent.DRAIN_CUT_REQUESTS,
                EventField.of("cut", open));
        // The last answers and lines leave before the process ends.
        mTimers.after(STOP_CHECK_PERIOD, () -> mStopped.complete(open));
    }

    /** Stops at once. */
    @Override
    public void close() {
        if (mCallers != null) {
            mCallers.close();
        }
        mReadiness.close();
        mMetrics.close();
        mPeers.close();
        try {
            mClient.close();
        } catch (IOException e) {
            mEvents.log(LogEvent.CONNECTION_FAILED, e);
        }
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
