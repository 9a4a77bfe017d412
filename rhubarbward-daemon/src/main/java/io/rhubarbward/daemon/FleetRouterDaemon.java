package io.rhubarbward.daemon;

import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.rhubarbward.catalog.CallerLimits;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.net.backend.AsyncBackendClient;
import io.rhubarbward.net.backend.HttpClients;
import io.rhubarbward.net.backend.NettyConnectProbe;
import io.rhubarbward.net.http.HttpHandler;
import io.rhubarbward.net.http.HttpLimits;
import io.rhubarbward.net.http.HttpListener;
import io.rhubarbward.net.http.HttpResources;
import io.rhubarbward.net.http.JsonResponses;
import io.rhubarbward.net.loop.EventLoopTimer;
import io.rhubarbward.net.loop.EventLoopTimerService;
import io.rhubarbward.net.loop.TimedEventLoops;
import io.rhubarbward.net.peer.ThriftPeerTransport;
import io.rhubarbward.node.FleetNodeSettings;
import io.rhubarbward.node.FleetPorts;
import io.rhubarbward.node.FleetRouter;
import io.rhubarbward.platform.PlatformAdapter;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.timer.UnreadTime;
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
 * The process of a router on the users' platform: a {@link FleetRouter} with its sockets, all on
 * one event loop.
 *
 * <pre>{@code
 * ServerSocketChannel callers = HttpListener.bind(settings.callers());
 * FleetRouterDaemon daemon =
 *         FleetRouterDaemon.start(settings, callers, FleetRouterDaemon.METRICS_PORT, events);
 * daemon.stop().join();
 * }</pre>
 */
public final class FleetRouterDaemon implements AutoCloseable {
    /** The port that serves the metrics on every VM; the deployment configuration names it too. */
    public static final int METRICS_PORT = 9464;

    /** How long a stopping router serves new requests: the balancer needs two seconds to react. */
    private static final Duration STOP_NOTICE = Duration.ofMillis(2800);

    /** Part of the time for a stop that is left for the process to exit by itself. */
    private static final Duration EXIT_MARGIN = Duration.ofMillis(400);

    /** How long a starting router lets callers wait at most: they give up after one second. */
    private static final Duration PRIMING_TIMEOUT = Duration.ofMillis(600);

    private static final Duration PRIMING_CHECK_PERIOD = Duration.ofMillis(5);

    private static final Duration STOP_CHECK_PERIOD = Duration.ofMillis(50);

    /** How long a request may take to arrive: longer than callers wait for an answer. */
    private static final int REQUEST_READ_TIMEOUT_MILLIS = 15_000;

    /** Size of the header fields that routers add to a request that they forward. */
    private static final int FORWARDING_HEAD_BYTES = 2048;

    /** Descriptors that are for files: libraries, logs and the settings. */
    private static final int FILE_DESCRIPTORS = 200;

    /**
     * Parts of the other descriptors for connections of callers, at the forwarding port, of other
     * routers' messages, and for readiness checks and metrics each. The rest, 4 of 32, is for
     * connections that the router opens: to servers, the store and other routers.
     */
    private static final double CALLERS_SHARE = 20 / 32.0;

    /** Connections that each port takes however few descriptors there are. */
    private static final int MIN_CONNECTIONS = 16;

    private static final double FORWARDING_SHARE = 4 / 32.0;
    private static final double PEERS_SHARE = 3 / 32.0;
    private static final double CHECKS_SHARE = 0.5 / 32.0;

    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final EventLog mEvents;
    private final UnreadTime mUnread = new UnreadTime(System.nanoTime());
    private final EventLoopGroup mGroup = TimedEventLoops.open("router", mUnread);
    private final AsyncHttpClient mClient;
    private final EventLoopTimerService mTimers;
    private final ThriftPeerTransport mPeers;
    private final FleetRouter mRouter;
    private final HttpResources mResources;
    private final ServerSocketChannel mCallerSocket;
    private @Nullable HttpListener mCallerListener;
    private final HttpListener mReadinessListener;
    private final HttpListener mForwardingListener;
    private final HttpListener mMetricsListener;
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
        mTimers = new EventLoopTimerService(mGroup.next(), mUnread, events);
        EventLoopTimer timer = new EventLoopTimer(mGroup.next(), events);
        PrometheusRegistry metrics = new PrometheusRegistry();
        mResources = HttpResources.ofHeap(metrics, events, mTimers::nowMillis);
        mClient = HttpClients.openOnEventLoop(mGroup, timer, PlatformAdapter.ANSWER_ID_HEADER);
        mPeers =
                new ThriftPeerTransport(
                        settings.vm(),
                        settings.peers(),
                        mGroup,
                        mTimers,
                        events,
                        metrics,
                        mResources,
                        maxConnections(PEERS_SHARE));
        mForwardingListener =
                HttpListener.open(
                        mGroup,
                        settings.forwarding(),
                        mTimers,
                        this::forwardingLimits,
                        mResources,
                        maxConnections(FORWARDING_SHARE),
                        this::serveForwarded);
        mRouter =
                new FleetRouter(
                        settings.withPeerPorts(mPeers.port(), mForwardingListener.port()),
                        new FleetPorts(
                                mTimers,
                                new SplittableRandom(),
                                events,
                                metrics,
                                new AsyncBackendClient(
                                        mClient,
                                        mTimers,
                                        HttpClients.SHORT_CONNECT_TIMEOUT,
                                        PlatformAdapter.ANSWER_ID_HEADER),
                                new NettyConnectProbe(mGroup, mTimers),
                                PlatformAdapter.dialect(),
                                mPeers,
                                PlatformAdapter.store(mClient, () -> mSettings.store(), mTimers)));
        mReadinessListener = openInternal(settings.readiness(), this::answerReadiness);
        mMetricsListener =
                openInternal(
                        new InetSocketAddress(settings.callers().getAddress(), metricsPort),
                        new MetricsEndpoint(metrics));
    }

    private HttpListener openInternal(InetSocketAddress address, HttpHandler handler) {
        return HttpListener.open(
                mGroup,
                address,
                mTimers,
                () -> HttpLimits.INTERNAL,
                mResources,
                maxConnections(CHECKS_SHARE),
                handler);
    }

    private int maxConnections(double share) {
        int descriptors = mSettings.maxDescriptors();
        if (descriptors == 0) {
            return HttpListener.UNBOUNDED;
        }
        int sockets = Math.max(descriptors / 2, descriptors - FILE_DESCRIPTORS);
        return Math.max(MIN_CONNECTIONS, (int) (sockets * share));
    }

    private CallerListener serveForwarded(CallerRequest request, CallerResponse response) {
        return mRouter.serveForwarded(request, response);
    }

    private CallerListener answerReadiness(CallerRequest request, CallerResponse response) {
        boolean ready = ready();
        return JsonResponses.send(
                response, ready ? OK : SERVICE_UNAVAILABLE, Map.of("ready", ready));
    }

    /** Returns whether the balancer should send new connections here. */
    boolean ready() {
        return !mStopping && mRouter.ready();
    }

    /**
     * Starts a router; it is ready once it has read the store.
     *
     * @param callers a bound socket, at which callers may be waiting already
     * @param metricsPort the port to serve metrics on; 0 takes a free one
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
                    daemon.acceptWhenPrimed(
                            daemon.mTimers.nowMillis() + PRIMING_TIMEOUT.toMillis());
                });
        return daemon;
    }

    /**
     * Accepts callers once the router has read the store, or at the deadline. Until then they wait
     * at the bound socket: a router that has not read the store would refuse them.
     */
    private void acceptWhenPrimed(long deadlineMillis) {
        if (!mRouter.primed() && mTimers.nowMillis() < deadlineMillis) {
            mTimers.after(PRIMING_CHECK_PERIOD, () -> acceptWhenPrimed(deadlineMillis));
            return;
        }
        mCallerListener =
                HttpListener.open(
                        mGroup,
                        mCallerSocket,
                        mTimers,
                        this::httpLimits,
                        mResources,
                        maxConnections(CALLERS_SHARE),
                        mRouter::serve);
        mEvents.log(LogEvent.ROUTER_READY, EventField.of("primed", mRouter.primed()));
    }

    /** Returns the port that callers use. */
    public int callersPort() {
        return mCallerSocket.socket().getLocalPort();
    }

    /** Completes with the number of routers that use this one as their relay. */
    CompletableFuture<Integer> relayFollowers() {
        return CompletableFuture.supplyAsync(mRouter::relayFollowers, mTimers);
    }

    /** Returns the port at which other routers forward requests. */
    int forwardingPort() {
        return mForwardingListener.port();
    }

    /** Returns the port at which the balancer asks whether the router is ready. */
    public int readinessPort() {
        return mReadinessListener.port();
    }

    private HttpLimits httpLimits() {
        return mRouter.callerLimits()
                .map(FleetRouterDaemon::httpLimits)
                .orElse(HttpLimits.INTERNAL);
    }

    /** Leaves room for the fields that a router adds to a caller's request. */
    private HttpLimits forwardingLimits() {
        HttpLimits limits = httpLimits();
        return new HttpLimits(
                limits.maxHeadBytes() + FORWARDING_HEAD_BYTES,
                limits.maxBodyBytes(),
                limits.requestReadMillis(),
                limits.idleMillis(),
                limits.headMillis());
    }

    private static HttpLimits httpLimits(CallerLimits limits) {
        return new HttpLimits(
                limits.maxHeadBytes(),
                limits.maxBodyBytes(),
                REQUEST_READ_TIMEOUT_MILLIS,
                limits.idleMillis(),
                limits.headMillis());
    }

    /**
     * Replaces the settings: the store's address and the grace period take effect at once, the
     * others at the next start.
     */
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

    /** Begins a graceful stop; completes with the number of requests that it had to cut. */
    public CompletableFuture<Integer> stop() {
        // Set here, as the event loop may answer a readiness check before it runs the task below.
        mStopping = true;
        mTimers.execute(
                () -> {
                    mRouter.beginStop(mSettings.bounds().grace().minus(EXIT_MARGIN));
                    if (mCallerListener != null) {
                        mCallerListener.disableKeepAlive();
                    }
                    mTimers.after(STOP_NOTICE, this::refuseNewAndAwaitOpen);
                });
        return mStopped;
    }

    private void refuseNewAndAwaitOpen() {
        mRouter.refuseNew();
        if (mCallerListener != null) {
            mCallerListener.closeIdleConnections();
        }
        Duration remaining = mSettings.bounds().grace().minus(STOP_NOTICE).minus(EXIT_MARGIN);
        awaitOpenRequests(mTimers.nowMillis() + remaining.toMillis());
    }

    private void awaitOpenRequests(long deadlineMillis) {
        int open = mRouter.openRequests() + mRouter.undeliveredAnswers();
        if (open > 0 && mTimers.nowMillis() < deadlineMillis) {
            mTimers.after(STOP_CHECK_PERIOD, () -> awaitOpenRequests(deadlineMillis));
            return;
        }
        mEvents.log(
                open == 0 ? LogEvent.ROUTER_STOPPED : LogEvent.DRAIN_CUT_REQUESTS,
                EventField.of("cut", open));
        mRouter.endOpenRequests();
        // Leaves time to send the last answers and log lines before the process exits.
        mTimers.after(STOP_CHECK_PERIOD, () -> mStopped.complete(open));
    }

    /** Stops at once; open requests are cut. */
    @Override
    public void close() {
        if (mCallerListener != null) {
            mCallerListener.close();
        }
        mReadinessListener.close();
        mForwardingListener.close();
        mMetricsListener.close();
        mPeers.close();
        try {
            mClient.close();
        } catch (IOException e) {
            mEvents.log(LogEvent.CONNECTION_FAILED, e);
        }
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
