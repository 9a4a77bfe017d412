package io.rhubarbward.daemon;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.rhubarbward.config.Configuration;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.net.backend.AsyncBackendClient;
import io.rhubarbward.net.backend.HttpClients;
import io.rhubarbward.net.backend.HttpEngineClient;
import io.rhubarbward.net.backend.HttpEngineOrders;
import io.rhubarbward.net.http.HttpLimits;
import io.rhubarbward.net.http.HttpListener;
import io.rhubarbward.net.http.HttpResources;
import io.rhubarbward.net.peer.ThriftPeerTransport;
import io.rhubarbward.net.platform.HttpObjectStore;
import io.rhubarbward.net.platform.HttpVmList;
import io.rhubarbward.node.RouterIdentity;
import io.rhubarbward.node.RouterNode;
import io.rhubarbward.node.RouterPorts;
import io.rhubarbward.timer.SystemTimerService;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;

/**
 * The process of a router: a {@link RouterNode} with its sockets, clock and threads.
 *
 * <pre>{@code
 * try (RouterDaemon router = RouterDaemon.start(settings, events)) {
 *     router.drain().join();
 * }
 * }</pre>
 */
public final class RouterDaemon implements AutoCloseable {
    private static final int IO_THREADS = 2;

    private final EventLog mEvents;
    private final SystemTimerService mTimers;
    private final EventLoopGroup mGroup = new NioEventLoopGroup(IO_THREADS);
    private final AsyncHttpClient mBackendHttp = HttpClients.open("backend");
    private final AsyncHttpClient mControlHttp = HttpClients.open("control");
    private final PrometheusRegistry mMetrics = new PrometheusRegistry();
    private final ThriftPeerTransport mPeers;
    private final RouterNode mNode;
    private final HttpListener mCallerListener;
    private final HttpListener mOperatorListener;
    private final CompletableFuture<Integer> mDrained = new CompletableFuture<>();

    private RouterDaemon(RouterProcessSettings settings, EventLog events) {
        mEvents = events;
        mTimers = new SystemTimerService("router-" + settings.vm(), events);
        HttpResources resources = HttpResources.ofHeap(mMetrics, events, mTimers::nowMillis);
        mPeers =
                new ThriftPeerTransport(
                        settings.vm(),
                        RouterProcessSettings.socketAddress(settings.peers()),
                        mGroup,
                        mTimers,
                        events,
                        mMetrics,
                        resources,
                        HttpListener.UNBOUNDED);
        mNode = new RouterNode(identity(settings), ports(settings));
        mPeers.budget(this::controlBytesPerSecond);
        mCallerListener =
                HttpListener.open(
                        mGroup,
                        RouterProcessSettings.socketAddress(settings.callers()),
                        mTimers,
                        this::httpLimits,
                        resources,
                        HttpListener.UNBOUNDED,
                        new CallerEndpoint(mNode));
        mOperatorListener =
                HttpListener.open(
                        mGroup,
                        RouterProcessSettings.socketAddress(settings.operators()),
                        mTimers,
                        () -> HttpLimits.INTERNAL,
                        resources,
                        HttpListener.UNBOUNDED,
                        new OperatorEndpoint(mNode, mMetrics));
    }

    /** Starts a router; it is ready once it has a configuration. */
    public static RouterDaemon start(RouterProcessSettings settings, EventLog events) {
        RouterDaemon daemon = new RouterDaemon(settings, events);
        daemon.mTimers.execute(daemon.mNode::start);
        return daemon;
    }

    private RouterIdentity identity(RouterProcessSettings settings) {
        String host = RouterProcessSettings.socketAddress(settings.peers()).getHostString();
        return new RouterIdentity(
                settings.vm(),
                settings.site(),
                settings.dataCentre(),
                mTimers.epochMillis(),
                host + ":" + mPeers.port(),
                settings.seeds());
    }

    private RouterPorts ports(RouterProcessSettings settings) {
        return new RouterPorts(
                mTimers,
                new SplittableRandom(),
                mEvents,
                new HttpObjectStore(mControlHttp, settings.platform(), mTimers),
                new HttpVmList(mControlHttp, settings.platform(), mTimers),
                new AsyncBackendClient(mBackendHttp, mTimers, HttpClients.CONNECT_TIMEOUT),
                new HttpEngineClient(mControlHttp, mTimers),
                new HttpEngineOrders(mControlHttp, mTimers),
                mPeers,
                mMetrics);
    }

    private HttpLimits httpLimits() {
        return mNode.configuration()
                .map(Configuration::settings)
                .map(settings -> HttpLimits.of(settings.listener()))
                .orElse(HttpLimits.INTERNAL);
    }

    private int controlBytesPerSecond() {
        return mNode.configuration()
                .map(configuration -> configuration.settings().control().bytesPerSecond())
                .orElse(0);
    }

    /** Returns the port that callers use. */
    public int callersPort() {
        return mCallerListener.port();
    }

    /** Returns the port that operators use. */
    public int operatorsPort() {
        return mOperatorListener.port();
    }

    /** Returns the port that other routers use. */
    public int peersPort() {
        return mPeers.port();
    }

    /** Begins a graceful stop; completes with the number of requests that it had to cut. */
    public CompletableFuture<Integer> drain() {
        mTimers.execute(() -> mNode.drain(mDrained::complete));
        return mDrained.thenApply(
                cut -> {
                    LogEvent event =
                            cut == 0 ? LogEvent.ROUTER_STOPPED : LogEvent.DRAIN_CUT_REQUESTS;
                    mEvents.log(event, EventField.of("cut", cut));
                    return cut;
                });
    }

    /** Stops at once; open requests are cut. */
    @Override
    public void close() {
        mCallerListener.close();
        mOperatorListener.close();
        mPeers.close();
        closeClient(mBackendHttp);
        closeClient(mControlHttp);
        mTimers.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void closeClient(AsyncHttpClient client) {
        try {
            client.close();
        } catch (java.io.IOException e) {
            mEvents.log(LogEvent.CONNECTION_FAILED, e);
        }
    }
}
