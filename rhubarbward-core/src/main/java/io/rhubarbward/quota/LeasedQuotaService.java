package io.rhubarbward.quota;

import io.rhubarbward.config.QuotaSettings;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.membership.Membership;
import io.rhubarbward.membership.MembershipListener;
import io.rhubarbward.membership.PeerMessage;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.state.StateSource;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Enforces limits across all routers: a key's custodian leases its units, one for each request.
 *
 * <pre>{@code
 * LeasedQuotaService quotas =
 *         new LeasedQuotaService(
 *                 membership, peers, capacities, settings, incarnation, timers, events);
 * quotas.start();
 * }</pre>
 *
 * <p>A key's custodian is the first live router in rendezvous order. The router that a unit is
 * granted to holds it while its request runs. Heartbeats renew the lease; a holder that is not
 * heard for the lease duration loses its units.
 */
public final class LeasedQuotaService implements QuotaService, StateSource {
    private static final Duration REFRESH_PERIOD = Duration.ofSeconds(6);
    // Used before the first configuration, when every capacity is 0 and so nothing is granted.
    private static final QuotaSettings UNCONFIGURED = new QuotaSettings(3000, 0);

    private final QuotaContext mContext;
    private final PeerTransport mTransport;
    private final QuotaCustodian mCustodian;
    private final QuotaHolder mHolder;

    /**
     * Creates the holder and the custodian side of this router.
     *
     * @param membership the live routers, from which a key's custodian follows
     * @param transport carries messages to the other routers
     * @param capacities returns the current size of a limit, as this router knows it
     * @param settings the lease settings in force, if there are any
     * @param incarnation a number that is larger after each restart of the process
     * @param timers the clock and the timers
     * @param events the event log
     */
    public LeasedQuotaService(
            Membership membership,
            PeerTransport transport,
            Function<QuotaKey, QuotaCapacity> capacities,
            Supplier<Optional<QuotaSettings>> settings,
            long incarnation,
            TimerService timers,
            EventLog events) {
        mContext =
                new QuotaContext(
                        membership,
                        capacities,
                        () -> settings.get().orElse(UNCONFIGURED),
                        timers,
                        events);
        mTransport = transport;
        mCustodian = new QuotaCustodian(mContext, this::send, incarnation);
        mHolder = new QuotaHolder(mContext, this::send, incarnation);
    }

    /** Subscribes to messages and membership changes and starts the periodic refresh. */
    public void start() {
        Membership membership = mContext.membership();
        membership.subscribe(new Listener());
        mTransport.subscribe(QuotaAsk.class, this::receive);
        mTransport.subscribe(QuotaAnswer.class, this::receive);
        mTransport.subscribe(HoldingsQuery.class, this::receive);
        mContext.timers().every(REFRESH_PERIOD, this::refresh);
    }

    @Override
    public CompletionStage<Either<QuotaRefusal, QuotaPermit>> acquire(QuotaKey key) {
        mContext.membership().checkPause();
        return mHolder.acquire(key);
    }

    /** Returns the units that custodians granted to this router, over all concurrency limits. */
    public int held() {
        return mHolder.held();
    }

    private void refresh() {
        mContext.membership().checkPause();
        mHolder.refresh();
        mCustodian.removeFullBuckets();
    }

    private void send(String toVm, PeerMessage message) {
        if (toVm.equals(mContext.ownVm())) {
            dispatch(toVm, message);
        } else {
            mContext.membership().peer(toVm).ifPresent(peer -> mTransport.send(peer, message));
        }
    }

    private void receive(String fromVm, PeerMessage message) {
        mContext.membership().checkPause();
        dispatch(fromVm, message);
    }

    private void dispatch(String fromVm, PeerMessage message) {
        if (message instanceof QuotaAsk ask) {
            mCustodian.onAsk(fromVm, ask);
        } else if (message instanceof QuotaAnswer answer) {
            mHolder.onAnswer(fromVm, answer);
        } else if (message instanceof HoldingsQuery query) {
            mHolder.onQuery(fromVm, query);
        }
    }

    @Override
    public String name() {
        return "quota";
    }

    @Override
    public Object state() {
        return Map.of("holder", mHolder.state(), "custodian", mCustodian.state());
    }

    private final class Listener implements MembershipListener {
        @Override
        public void onMembersChanged() {
            mCustodian.onMembersChanged();
            mHolder.onMembersChanged();
        }

        @Override
        public void onRestarted(String vm) {
            mCustodian.onRestarted(vm);
        }

        @Override
        public void onPauseDetected() {
            mCustodian.onPauseDetected();
            mHolder.onPauseDetected();
        }
    }
}
