package io.rhubarbward.node;

import io.rhubarbward.admission.Admission;
import io.rhubarbward.config.ClientAccount;
import io.rhubarbward.config.ConfigDistribution;
import io.rhubarbward.config.ConfigIdentity;
import io.rhubarbward.config.Configuration;
import io.rhubarbward.config.CurrentConfiguration;
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
import io.rhubarbward.move.RolloutParticipant;
import io.rhubarbward.quota.LeasedQuotaService;
import io.rhubarbward.quota.QuotaCapacity;
import io.rhubarbward.quota.QuotaKey;
import io.rhubarbward.request.CallObservers;
import io.rhubarbward.request.CallOutcome;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.request.ExchangeContext;
import io.rhubarbward.request.QuarantineGossip;
import io.rhubarbward.request.RequestMetrics;
import io.rhubarbward.request.RequestService;
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
 * A router: wires its components together over {@link RouterPorts}, without sockets or clocks of
 * its own.
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
    private final CurrentConfiguration mConfiguration;
    private final ConfigDistribution mDistribution;
    private final Membership mMembership;
    private final BackendRegistry mRegistry;
    private final LoadPoller mPoller;
    private final RolloutParticipant mRollouts;
    private final LeasedQuotaService mQuotas;
    private final Admission mAdmission;
    private final CallObservers mCallObservers = new CallObservers();
    private final ClaimStore mClaims;
    private final Quarantine mQuarantine;
    private final RequestService mRequests;
    private boolean mDraining;

    /** Creates the components; nothing runs until {@link #start}. */
    public RouterNode(RouterIdentity identity, RouterPorts ports) {
        mIdentity = identity;
        mPorts = ports;
        mStore =
                new RateLimitedObjectStore(
                        ports.store(), ports.timers(), budget(SettingsReader.defaults()));
        mConfiguration = new CurrentConfiguration(ports.events());
        mMembership =
                new Membership(
                        identity.vm(),
                        identity.dataCentre(),
                        ports.vmList(),
                        ports.peers(),
                        () -> new Heartbeat(identity.incarnation(), mConfiguration.generation()),
                        ports.timers(),
                        ports.events());
        mDistribution = newDistribution();
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
        mQuotas = newQuotaService();
        mAdmission = new Admission(mQuotas, ports.timers());
        mClaims =
                new ClaimStore(
                        mStore, ports.timers(), identity.noncePrefix(ports.random().nextLong()));
        mQuarantine =
                new Quarantine(
                        identity.vm(),
                        ports.timers(),
                        ports.events(),
                        notices -> QuarantineGossip.broadcast(mMembership, ports.peers(), notices));
        mRollouts = newRollouts();
        mRequests = new RequestService(mConfiguration, exchangeContext());
    }

    private LeasedQuotaService newQuotaService() {
        return new LeasedQuotaService(
                mMembership,
                mPorts.peers(),
                this::quotaCapacity,
                () -> mConfiguration.settings().map(Settings::quota),
                mIdentity.incarnation(),
                mPorts.timers(),
                mPorts.events());
    }

    private RolloutParticipant newRollouts() {
        return new RolloutParticipant(
                new RolloutParticipant.RouterContext(
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

    private ConfigDistribution newDistribution() {
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

    private ExchangeContext exchangeContext() {
        return new ExchangeContext(
                mIdentity.dataCentre(),
                mPorts.timers(),
                mPorts.events(),
                mAdmission,
                new BoundedAffinity(mRollouts.filter()),
                mRegistry,
                mQuotas,
                mPorts.backends(),
                new RequestMetrics(mPorts.metrics()),
                mCallObservers,
                mClaims,
                mQuarantine);
    }

    /** Starts all components: membership, configuration, quotas, load polling and rollouts. */
    public void start() {
        mPorts.events().log(LogEvent.ROUTER_STARTED, EventField.of("vm", mIdentity.vm()));
        mConfiguration.subscribe(this::applyConfiguration);
        mMembership.introduceTo(mIdentity.address(), mIdentity.seeds());
        mMembership.subscribe(mRegistry::observe);
        mCallObservers.subscribe(this::onCallOutcome);
        mAdmission.queue().start();
        QuarantineGossip.connect(mQuarantine, mMembership, mPorts.peers());
        mDistribution.start();
        mQuotas.start();
        mMembership.start(VM_LIST_PERIOD, HEARTBEAT_PERIOD);
        mPoller.start();
        mRollouts.start();
        mCallObservers.subscribe(mRollouts.observer());
    }

    private void onCallOutcome(CallOutcome outcome) {
        mAdmission.queue().onCapacityFreed(outcome.server().service());
        if (outcome.result() == CallOutcome.Result.ANSWERED) {
            mRegistry.requestCompleted(
                    outcome.server().name(), outcome.chat(), outcome.firstByteMillis());
        }
    }

    private void applyConfiguration(Configuration configuration) {
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
     * configuration, hears from no source of configuration changes, does not know the backend
     * servers or the rollouts yet, or runs in a data centre that is out. A router that is not ready
     * does not refuse requests for that reason.
     */
    public boolean ready() {
        return !mDraining
                && mDistribution.hasRecentContact()
                && mMembership.vmListAnswered()
                && mConfiguration.settings().map(this::ownDataCentreTakesWork).orElse(false)
                && mRollouts.loaded();
    }

    private boolean ownDataCentreTakesWork(Settings settings) {
        return settings.dataCentre(mIdentity.dataCentre()).map(DataCentre::takesWork).orElse(true);
    }

    /** Returns the configuration in force. */
    public Optional<Configuration> configuration() {
        return mConfiguration.current();
    }

    /** Returns the status of each backend server, by name. */
    public List<BackendStatus> backends() {
        return mRegistry.servers();
    }

    /**
     * Stops gracefully: becomes not ready at once, refuses new requests after the notice time that
     * the balancer needs, then waits until the open requests end or the finish time is over.
     *
     * @param onDrained called once with the number of requests that are still open then
     */
    public void drain(java.util.function.IntConsumer onDrained) {
        mDraining = true;
        mPorts.events()
                .log(LogEvent.ROUTER_DRAINING, EventField.of("open", mRequests.openRequests()));
        int noticeMillis =
                mConfiguration
                        .settings()
                        .map(settings -> settings.drain().noticeMillis())
                        .orElse(0);
        int finishMillis =
                mConfiguration
                        .settings()
                        .map(settings -> settings.drain().finishMillis())
                        .orElse(0);
        mPorts.timers()
                .after(
                        Duration.ofMillis(noticeMillis),
                        () -> {
                            mRequests.drain();
                            long deadlineMillis = mPorts.timers().nowMillis() + finishMillis;
                            awaitOpenRequests(deadlineMillis, onDrained);
                        });
    }

    private void awaitOpenRequests(long deadlineMillis, java.util.function.IntConsumer onDrained) {
        if (mRequests.openRequests() == 0 || mPorts.timers().nowMillis() >= deadlineMillis) {
            mDistribution.stop();
            onDrained.accept(mRequests.openRequests());
        } else {
            mPorts.timers()
                    .after(DRAIN_CHECK_PERIOD, () -> awaitOpenRequests(deadlineMillis, onDrained));
        }
    }

    /** Returns a dump of the state of every component, by its name. */
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
                        mRollouts,
                        mRequests);
        sources.forEach(source -> dump.put(source.name(), source.state()));
        return dump;
    }

    private QuotaCapacity quotaCapacity(QuotaKey key) {
        Optional<Settings> settings = mConfiguration.settings();
        if (key instanceof QuotaKey.AccountRate rate) {
            return settings.map(current -> current.accounts().get(rate.account()))
                    .map(RouterNode::accountRate)
                    .orElse(QuotaCapacity.concurrency(0));
        }
        if (key instanceof QuotaKey.BackendConcurrency backend) {
            return QuotaCapacity.concurrency(mRegistry.capacity(backend.backendServer()));
        }
        if (key instanceof QuotaKey.RetryBudget) {
            return settings.map(current -> current.admission().retriesPerSecond())
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

    private static QuotaCapacity accountRate(ClientAccount account) {
        return QuotaCapacity.rate(account.requestsPerSecond(), account.burst());
    }
}
