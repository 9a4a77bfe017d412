package io.rhubarbward.daemon;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.rhubarbward.config.ConfigFailure;
import io.rhubarbward.config.ConfigStore;
import io.rhubarbward.config.SettingsText;
import io.rhubarbward.config.Sha256;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.standin.EngineProfile;
import io.rhubarbward.standin.EngineStandin;
import io.rhubarbward.standin.PlatformStandin;
import io.rhubarbward.standin.ServiceStandin;
import io.rhubarbward.store.Vm;
import io.rhubarbward.timer.SystemTimerService;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The whole system in one process: a platform stand-in, three engines, one plain service and one or
 * more routers.
 *
 * <pre>{@code
 * try (Demo demo = Demo.start(new DemoPorts(8080, 8081, 7000), 1, events)) {
 *     System.out.println(demo.routers().get(0).callersPort());
 * }
 * }</pre>
 */
public final class Demo implements AutoCloseable {
    /** The bearer key of the demo's only client account. */
    public static final String KEY = "demo-key";

    private static final int ENGINES = 3;
    private static final long START_TIMEOUT_SECONDS = 30;
    private static final String SITE = "demo";
    private static final String DATA_CENTRE = "demo-a";

    private final EventLog mEvents;
    private final SystemTimerService mTimers;
    private final EventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final PlatformStandin mPlatform;
    private final List<EngineStandin> mEngines;
    private final ServiceStandin mService;
    private final List<RouterDaemon> mRouters;

    private Demo(DemoPorts ports, int routers, EventLog events) {
        mEvents = events;
        mTimers = new SystemTimerService("standins", events);
        mPlatform = new PlatformStandin(mGroup, DemoPorts.loopback(ports.platform()), mTimers);
        mEngines = IntStream.rangeClosed(1, ENGINES).mapToObj(this::engine).toList();
        mService = new ServiceStandin("orders-1", mGroup, DemoPorts.loopback(0), mTimers);
        mRouters = IntStream.range(0, routers).mapToObj(index -> router(ports, index)).toList();
        mPlatform.vms(vms());
    }

    /** Starts everything and applies the demo's configuration. */
    public static Demo start(DemoPorts ports, int routers, EventLog events) {
        Demo demo = new Demo(ports, routers, events);
        demo.apply(demo.settings(), "demo.json");
        return demo;
    }

    private EngineStandin engine(int number) {
        return new EngineStandin(
                "engine-" + number,
                UUID.randomUUID().toString(),
                EngineProfile.QUICK,
                mGroup,
                DemoPorts.loopback(0),
                mTimers);
    }

    private RouterDaemon router(DemoPorts ports, int index) {
        return RouterDaemon.start(
                new RouterProcessSettings(
                        "entry-" + (index + 1),
                        SITE,
                        DATA_CENTRE,
                        mPlatform.address(),
                        "127.0.0.1:" + DemoPorts.nth(ports.callers(), index),
                        "127.0.0.1:" + DemoPorts.nth(ports.operators(), index),
                        "127.0.0.1:0"),
                mEvents);
    }

    private List<Vm> vms() {
        return Stream.concat(
                        IntStream.range(0, mEngines.size())
                                .mapToObj(index -> backend("engine-" + (index + 1), index)),
                        IntStream.range(0, mRouters.size()).mapToObj(this::routerVm))
                .toList();
    }

    private Vm backend(String name, int index) {
        return new Vm(
                name,
                DATA_CENTRE,
                Vm.Role.BACKEND,
                mEngines.get(index).address(),
                Vm.State.LIVE,
                "assistant",
                "1");
    }

    private Vm routerVm(int index) {
        return new Vm(
                "entry-" + (index + 1),
                DATA_CENTRE,
                Vm.Role.ROUTER,
                "127.0.0.1:" + mRouters.get(index).peersPort(),
                Vm.State.LIVE,
                null,
                null);
    }

    /** Returns the demo's settings, as a base file would state them. */
    public String settings() {
        return """
               {
                 "site": "demo",
                 "drain": {"noticeMillis": 0, "finishMillis": 10000},
                 "dataCentres": {"demo-a": {"state": "in"}},
                 "accounts": {
                   "demo": {"keySha256": "%s", "requestsPerSecond": 100000, "burst": 100000}
                 },
                 "services": {
                   "assistant": {
                     "kind": "engine", "model": "assistant-1",
                     "pathPrefix": "/v1/chat/completions", "repeatable": true,
                     "concurrency": 64, "coldConcurrency": 4
                   },
                   "orders": {"kind": "plain", "pathPrefix": "/orders/", "concurrency": 64}
                 },
                 "backendServers": {
                   "orders-1": {"service": "orders", "dataCentre": "demo-a", "address": "%s"}
                 }
               }
               """
                .formatted(Sha256.of(KEY), mService.address());
    }

    /** Applies the settings as the next generation and returns it. */
    public long apply(String settings, String name) {
        try (PlatformConnection platform = new PlatformConnection(mPlatform.address(), mEvents)) {
            CompletableFuture<Either<ConfigFailure, Long>> applied =
                    new ConfigStore(platform.store())
                            .apply(
                                    new SettingsText(name, settings),
                                    Map.of(SITE, new SettingsText("overlay.json", "{}")),
                                    UUID.randomUUID().toString())
                            .toCompletableFuture();
            return applied.get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                    .getOrElseThrow(failure -> new IllegalArgumentException(failure.message()));
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("the platform stand-in answers", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    /** Returns the routers. */
    public List<RouterDaemon> routers() {
        return mRouters;
    }

    /** Returns the engines. */
    public List<EngineStandin> engines() {
        return mEngines;
    }

    /** Returns the platform. */
    public PlatformStandin platform() {
        return mPlatform;
    }

    /** Returns the lines that try the demo. */
    public String usageExamples() {
        RouterDaemon router = mRouters.get(0);
        String caller = "http://127.0.0.1:" + router.callersPort();
        String operator = "http://127.0.0.1:" + router.operatorsPort();
        String key = "-H 'Authorization: Bearer " + KEY + "' ";
        String chat =
                "curl -si " + key + "-H 'X-Chat-Id: chat-7' " + caller + "/v1/chat/completions ";
        return String.join(
                System.lineSeparator(),
                "A chat, whole; the same engine answers each turn (x-engine):",
                "  " + chat + "-d '{\"model\":\"assistant-1\",\"messages\":[]}'",
                "The same chat, streamed:",
                "  " + chat + "-d '{\"model\":\"assistant-1\",\"stream\":true,\"messages\":[]}'",
                "A plain service:",
                "  curl -si " + key + caller + "/orders/12",
                "What the balancer asks, and what operators see:",
                "  curl -s " + caller + CallerEndpoint.READY,
                "  curl -s " + operator + OperatorEndpoint.METRICS,
                "  curl -s " + operator + OperatorEndpoint.STATE,
                "The platform stand-in listens on " + mPlatform.address() + ".");
    }

    @Override
    public void close() {
        mRouters.forEach(RouterDaemon::close);
        mEngines.forEach(EngineStandin::close);
        mService.close();
        mPlatform.close();
        mTimers.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
