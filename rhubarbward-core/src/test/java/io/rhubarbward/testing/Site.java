package io.rhubarbward.testing;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.rhubarbward.config.ConfigStore;
import io.rhubarbward.config.SettingsText;
import io.rhubarbward.config.Sha256;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.node.RouterIdentity;
import io.rhubarbward.node.RouterNode;
import io.rhubarbward.node.RouterPorts;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.store.Vm;
import io.rhubarbward.store.memory.MemoryObjectStore;
import io.rhubarbward.timer.VirtualTimerService;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiPredicate;

/**
 * A site for tests: routers that share an in-memory platform and virtual time, with a simulated
 * peer network, backend servers and engines.
 */
public final class Site {
    public static final String KEY = "key";
    public static final String SETTINGS =
            """
            {
              "dataCentres": {"dc-a": {"state": "in"}, "dc-b": {"state": "in"}},
              "accounts": {"acme": {"keySha256": "%s", "requestsPerSecond": 1000, "burst": 1000}},
              "services": {
                "assistant": {
                  "kind": "engine", "model": "m", "pathPrefix": "/v1/chat/completions",
                  "repeatable": true
                },
                "orders": {"kind": "plain", "pathPrefix": "/orders/"}
              },
              "backendServers": {
                "engine-1": {"service": "assistant", "dataCentre": "dc-a", "address": "e1:1"},
                "engine-2": {"service": "assistant", "dataCentre": "dc-a", "address": "e2:1"},
                "engine-3": {"service": "assistant", "dataCentre": "dc-b", "address": "e3:1"},
                "orders-1": {"service": "orders", "dataCentre": "dc-a", "address": "o1:1"},
                "orders-2": {"service": "orders", "dataCentre": "dc-b", "address": "o2:1"}
              }
            }
            """
                    .formatted(Sha256.of(KEY));

    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final MemoryObjectStore mStore = new MemoryObjectStore(mTimers);
    private final FakePeers mPeers = new FakePeers(mTimers);
    private final FakeBackends mBackends = new FakeBackends();
    private final FakeEngines mEngines = new FakeEngines();
    private final FakeEngineOrders mEngineOrders = new FakeEngineOrders(mTimers);
    private final List<Vm> mVms = new ArrayList<>();
    private final List<RouterNode> mRouters = new ArrayList<>();
    private final Map<String, PlatformLink> mPlatformLinks = new HashMap<>();
    private CompletableFuture<?> mVmListReleased = CompletableFuture.completedFuture(null);
    private final Set<String> mKilledVms = new HashSet<>();
    private final RecordingEvents mEvents = new RecordingEvents();

    /** Starts the number of routers in data centre dc-a under {@link #SETTINGS}. */
    public static Site start(int routers) {
        Site site = new Site();
        List.of("engine-1", "engine-2", "engine-3")
                .forEach(engine -> site.mEngines.idle(engine, "first"));
        for (int number = 1; number <= routers; number++) {
            site.addRouter("entry-" + number);
        }
        site.apply(SETTINGS);
        site.advance(Duration.ofSeconds(3));
        return site;
    }

    /** Leaves reads of the VM list by routers added from now on open until the stage completes. */
    public void holdVmListUntil(CompletableFuture<?> released) {
        mVmListReleased = released;
    }

    /** Adds and starts a router in data centre dc-a. */
    public RouterNode addRouter(String vm) {
        return addRouter(vm, "dc-a", List.of());
    }

    /** Adds and starts a router with the peer addresses of other routers as its seeds. */
    public RouterNode addRouter(String vm, String dataCentre, List<String> seeds) {
        mVms.add(new Vm(vm, dataCentre, Vm.Role.ROUTER, vm + ":1", Vm.State.LIVE, null, null));
        PlatformLink link = new PlatformLink(mStore, () -> List.copyOf(mVms), mVmListReleased);
        RouterNode node =
                new RouterNode(
                        new RouterIdentity(vm, "site", dataCentre, 1, vm + ":1", seeds),
                        new RouterPorts(
                                mTimers,
                                new SplittableRandom(mVms.size()),
                                mEvents,
                                link,
                                link,
                                mBackends,
                                mEngines,
                                mEngineOrders,
                                mPeers.endpoint(vm),
                                new PrometheusRegistry()));
        mRouters.add(node);
        mPlatformLinks.put(vm, link);
        node.start();
        return node;
    }

    /** Cuts a router off without a shutdown, as in a crash; the VM list still shows it. */
    public void kill(RouterNode router, String vm) {
        link(vm).cut(true);
        mRouters.remove(router);
        mKilledVms.add(vm);
        cutPeers((from, to) -> false);
    }

    /** Returns the connection between a router and the platform. */
    public PlatformLink link(String vm) {
        return Objects.requireNonNull(mPlatformLinks.get(vm));
    }

    /**
     * Cuts the links between routers for which the predicate holds, and those of killed routers.
     */
    public void cutPeers(BiPredicate<String, String> cut) {
        mPeers.cut(
                (from, to) ->
                        mKilledVms.contains(from) || mKilledVms.contains(to) || cut.test(from, to));
    }

    /** Applies the settings as the next configuration generation. */
    public void apply(String settings) {
        configs()
                .apply(
                        new SettingsText("base.json", settings),
                        Map.of("site", new SettingsText("overlay.json", "{}")),
                        "nonce-" + mTimers.nowMillis());
        mTimers.runDue();
    }

    /** Returns the store through which operators apply configurations and move data centres. */
    public ConfigStore configs() {
        return new ConfigStore(mStore);
    }

    /** Returns a request of the chat to the assistant service. */
    public static CallerRequest chat(String chat) {
        return request(
                "POST", "/v1/chat/completions", "{\"model\":\"m\",\"chat_id\":\"" + chat + "\"}");
    }

    /** Returns a request with the API key of account acme. */
    public static CallerRequest request(String method, String target, String body) {
        return new CallerRequest(
                method,
                target,
                HeaderFields.of("authorization", "Bearer " + KEY),
                StandardCharsets.UTF_8.encode(body));
    }

    /** Returns the events that routers have logged, in order. */
    public List<LogEvent> logged() {
        return mEvents.logged();
    }

    public void advance(Duration duration) {
        mTimers.advance(duration);
    }

    public VirtualTimerService timers() {
        return mTimers;
    }

    public MemoryObjectStore store() {
        return mStore;
    }

    public FakePeers peers() {
        return mPeers;
    }

    public FakeBackends backends() {
        return mBackends;
    }

    public FakeEngines engines() {
        return mEngines;
    }

    public FakeEngineOrders orders() {
        return mEngineOrders;
    }

    public List<Vm> vms() {
        return mVms;
    }

    public RouterNode router(int index) {
        return mRouters.get(index);
    }

    public List<RouterNode> routers() {
        return mRouters;
    }
}
