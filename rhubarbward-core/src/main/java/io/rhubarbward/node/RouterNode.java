package io.rhubarbward.node;

import io.rhubarbward.admission.Admission;
import io.rhubarbward.config.ClientAccount;
import io.rhubarbward.config.ConfigDistribution;
import io.rhubarbward.config.ConfigIdentity;
import io.rhubarbward.config.Configuration;
import io.rhubarbward.config.ConfigurationInForce;
import io.rhubarbward.config.DataCentre;
import io.rhubarbward.config.Settings;
import io.rhubarbward.config.SettingsReader;
import io.rhubarbward.engine.BackendRegistry;
import io.rhubarbward.engine.BackendStatus;
import io.rhubarbward.engine.LoadPoller;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.membership.Heartbeat;
import io.rhubarbward.membership.Membership;
import io.rhubarbward.move.Moves;
import io.rhubarbward.quota.LeasedQuotaService;
import io.rhubarbward.quota.QuotaCapacity;
import io.rhubarbward.quota.QuotaKey;
import io.rhubarbward.request.CallObservers;
import io.rhubarbward.request.CallOutcome;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.request.ExchangeContext;
import io.rhubarbward.request.RequestMetrics;
import io.rhubarbward.request.RequestService;
import io.rhubarbward.request.RequestSlice;
import io.rhubarbward.request.claim.ClaimStore;
import io.rhubarbward.request.quarantine.Quarantine;
import io.rhubarbward.routing.BoundedAffinity;
import io.rhubarbward.state.StateSource;
import io.rhubarbward.store.RateLimitedObjectStore;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * One router: all slices put together, without sockets or clocks of its own.
 *
 * <pre>{@code
 * RouterNode node = new RouterNode(identity, ports);
 * node.start();
 * node.serve(request, response);
 * }</pre>
 *
 * <p>All calls are made on the timer service's thread.
 */
public final class RouterNode {
    private static final Duration VM_LIST_PERIOD = Duration.ofSeconds(2);
    private static final Duration HEARTBEAT_PERIOD = Duration.ofSeconds(1);
    private static final Duration DRAIN_CHECK_PERIOD = Duration.ofMillis(50);

    private final RouterIdentity mIdentity;
    private final RouterPorts mPorts;
    private final RateLimitedObjectStore mStore;
    private final ConfigurationInForce mConfiguration;
    private final ConfigDistribution mDistribution;
    private final Membership mMembership;
    private final BackendRegistry mRegistry;
    private final LoadPoller mPoller;
    private final Moves mMoves;
    private final LeasedQuotaService mQuotas;
    private final Admission mAdmission;
    private final CallObservers mCallObservers = new CallObservers();
    private final ClaimStore mClaims;
    private final Quarantine mQuarantine;
    private final RequestService mRequests;
    private boolean mDraining;

    /** Puts the slices together; nothing runs until {@link #start}. */
    public RouterNode(RouterIdentity identity, RouterPorts ports) {
        mIdentity = identity;
        mPorts = ports;
        mStore =
                new RateLimitedObjectStore(
                        ports.store(), ports.timers(), budget(SettingsReader.defaults()));
        mConfiguration = new ConfigurationInForce(ports.events());
        mMembership =
                new Membership(
                        identity.vm(),
                        identity.dataCentre(),
                        ports.vmList(),
                        ports.peers(),
                        () -> new Heartbeat(identity.incarnation(), mConfiguration.generation()),
                        ports.timers(),
                        ports.events());
        mDistribution = distribution();
        mRegistry = new BackendRegistry(ports.events(), ports.timers());
        mPoller =
                new LoadPoller(
                        identity.vm(),
                        identity.dataCentre(),
                        mConfiguration::settings,
                        mRegistry,
                        mMembership,
                        ports.peers(),
                        ports.engines(),
                        ports.timers());
        mQuotas = quotas();
        mAdmission = new Admission(mQuotas, ports.timers());
        mClaims =
                new ClaimStore(
                        mStore, ports.timers(), identity.noncePrefix(ports.random().nextLong()));
        mQuarantine =
                new Quarantine(
                        identity.vm(),
                        ports.timers(),
                        ports.events(),
                        notices -> RequestSlice.tell(mMembership, ports.peers(), notices));
        mMoves = moves();
        mRequests = new RequestService(mConfiguration, context());
    }

    private LeasedQuotaService quotas() {
        return new LeasedQuotaService(
                mMembership,
                mPorts.peers(),
                this::capacity,
                () -> mConfiguration.settings().map(Settings::quota),
                mIdentity.incarnation(),
                mPorts.timers(),
                mPorts.events());
    }

    private Moves moves() {
        return new Moves(
                new Moves.Self(
                        mIdentity.vm(),
                        mIdentity.incarnation(),
                        mPorts.timers(),
                        mPorts.random(),
                        mPorts.events()),
                mStore,
                mPorts.orders(),
                mMembership,
                mPorts.peers(),
                mRegistry,
                mConfiguration::settings);
    }

    private ConfigDistribution distribution() {
        return new ConfigDistribution(
                new ConfigIdentity(
                        mIdentity.vm(),
                        mIdentity.site(),
                        mIdentity.dataCentre(),
                        mIdentity.address(),
                        mIdentity.seeds()),
                mConfiguration,
                mMembership,
                mStore,
                mPorts.peers(),
                mPorts.timers(),
                mPorts.random(),
                mPorts.events());
    }

    private ExchangeContext context() {
        return new ExchangeContext(
                mIdentity.dataCentre(),
                mPorts.timers(),
                mPorts.events(),
                mAdmission,
                new BoundedAffinity(mMoves.filter()),
                mRegistry,
                mQuotas,
                mPorts.backends(),
                new RequestMetrics(mPorts.metrics()),
                mCallObservers,
                mClaims,
                mQuarantine);
    }

    /** Starts to follow the platform and the engines. */
    public void start() {
        mPorts.events().log(LogEvent.ROUTER_STARTED, EventField.of("vm", mIdentity.vm()));
        mConfiguration.subscribe(this::onConfiguration);
        mMembership.introduceTo(mIdentity.address(), mIdentity.seeds());
        mMembership.subscribe(mRegistry::observe);
        mCallObservers.subscribe(this::countCompleted);
        mAdmission.queue().start();
        RequestSlice.connect(mQuarantine, mMembership, mPorts.peers());
        mDistribution.start();
        mQuotas.start();
        mMembership.start(VM_LIST_PERIOD, HEARTBEAT_PERIOD);
        mPoller.start();
        mMoves.start();
        mCallObservers.subscribe(mMoves.observer());
    }

    private void countCompleted(CallOutcome outcome) {
        mAdmission.queue().onCapacityFreed(outcome.server().service());
        if (outcome.result() == CallOutcome.Result.ANSWERED) {
            mRegistry.requestCompleted(
                    outcome.server().name(), outcome.chat(), outcome.firstByteMillis());
        }
    }

    private void onConfiguration(Configuration configuration) {
        mStore.budget(budget(configuration.settings()));
        mRegistry.configure(configuration.settings());
        mAdmission.configure(configuration.settings());
    }

    /** Serves a caller's request. */
    public CallerListener serve(CallerRequest request, CallerResponse response) {
        return mRequests.serve(request, response);
    }

    /**
     * Returns whether the balancer may send requests here: not while the router drains, has no
     * configuration, is cut off from every source of changes, or stands in a data centre that is
     * out. Requests that come all the same are served.
     */
    public boolean ready() {
        return !mDraining
                && mDistribution.inContact()
                && mConfiguration.settings().map(this::homeTakesWork).orElse(false)
                && mMoves.known();
    }

    private boolean homeTakesWork(Settings settings) {
        return settings.dataCentre(mIdentity.dataCentre()).map(DataCentre::takesWork).orElse(true);
    }

    /** Returns the configuration in force. */
    public Optional<Configuration> configuration() {
        return mConfiguration.current();
    }

    /** Returns what is known of each backend server, by name. */
    public List<BackendStatus> backends() {
        return mRegistry.servers();
    }

    /**
     * Stops in an orderly way: not ready at once, new requests refused after the balancer's notice
     * time, then the end of the last open answer.
     *
     * @param onDrained called once with the number of requests that were still open at the limit
     */
    public void drain(java.util.function.IntConsumer onDrained) {
        mDraining = true;
        mPorts.events().log(LogEvent.ROUTER_DRAINING, EventField.of("open", mRequests.open()));
        int notice = mConfiguration.settings().map(s -> s.drain().noticeMillis()).orElse(0);
        int finish = mConfiguration.settings().map(s -> s.drain().finishMillis()).orElse(0);
        mPorts.timers()
                .after(
                        Duration.ofMillis(notice),
                        () -> {
                            mRequests.drain();
                            long limit = mPorts.timers().nowMillis() + finish;
                            awaitEnd(limit, onDrained);
                        });
    }

    private void awaitEnd(long limitMillis, java.util.function.IntConsumer onDrained) {
        if (mRequests.open() == 0 || mPorts.timers().nowMillis() >= limitMillis) {
            mDistribution.stop();
            onDrained.accept(mRequests.open());
        } else {
            mPorts.timers().after(DRAIN_CHECK_PERIOD, () -> awaitEnd(limitMillis, onDrained));
        }
    }

    /** Returns a dump of every slice's state. */
    public Map<String, Object> state() {
        Map<String, Object> dump = new TreeMap<>();
        dump.put("identity", mIdentity);
        List<StateSource> sources =
                List.of(
                        mConfiguration,
                        mDistribution,
                        mMembership,
                        mRegistry,
                        mQuotas,
                        mAdmission.queue(),
                        mClaims,
                        mMoves,
                        mRequests);
        sources.forEach(source -> dump.put(source.name(), source.state()));
        return dump;
    }

    private QuotaCapacity capacity(QuotaKey key) {
        Optional<Settings> settings = mConfiguration.settings();
        if (key instanceof QuotaKey.AccountRate rate) {
            return settings.map(s -> s.accounts().get(rate.account()))
                    .map(RouterNode::rate)
                    .orElse(QuotaCapacity.concurrency(0));
        }
        if (key instanceof QuotaKey.BackendConcurrency backend) {
            return QuotaCapacity.concurrency(mRegistry.capacity(backend.backendServer()));
        }
        if (key instanceof QuotaKey.RetryBudget) {
            return settings.map(s -> s.admission().retriesPerSecond())
                    .map(rate -> QuotaCapacity.rate(rate, (int) Math.ceil(rate)))
                    .orElse(QuotaCapacity.concurrency(0));
        }
        return QuotaCapacity.concurrency(Integer.MAX_VALUE);
    }

    private static RateLimitedObjectStore.Budget budget(Settings settings) {
        return new RateLimitedObjectStore.Budget(
                settings.control().platformReadsPerSecond(),
                settings.control().platformWritesPerSecond());
    }

    private static QuotaCapacity rate(ClientAccount account) {
        return QuotaCapacity.rate(account.requestsPerSecond(), account.burst());
    }
}
