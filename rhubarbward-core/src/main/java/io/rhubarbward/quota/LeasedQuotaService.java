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
 * Shares each limit among all routers: a key's custodian grants its units, one for each request.
 *
 * <pre>{@code
 * LeasedQuotaService quotas =
 *         new LeasedQuotaService(
 *                 membership, peers, capacities, settings, incarnation, timers, events);
 * quotas.start();
 * }</pre>
 *
 * <p>The custodian is the first live router in rendezvous order. A unit stays its holder's while
 * the request runs and the holder is heard; a holder that is silent for a lease loses its units.
 */
public final class LeasedQuotaService implements QuotaService, StateSource {
    private static final Duration REFRESH = Duration.ofSeconds(6);
    // Without a configuration every capacity is 0, so that these grant nothing.
    private static final QuotaSettings UNCONFIGURED = new QuotaSettings(3000, 0);

    private final QuotaContext mContext;
    private final PeerTransport mTransport;
    private final QuotaCustodian mCustodian;
    private final QuotaHolder mHolder;

    /**
     * Puts the two sides together.
     *
     * @param membership who is live and who owns a key
     * @param transport carries messages to the other routers
     * @param capacities how large a limit is now, as this router knows it
     * @param settings how limits are leased
     * @param incarnation differs at each start of the process
     * @param timers the time
     * @param events the log
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

    /** Starts to speak with the other routers. */
    public void start() {
        Membership membership = mContext.membership();
        membership.subscribe(new Listener());
        mTransport.subscribe(QuotaAsk.class, this::receive);
        mTransport.subscribe(QuotaAnswer.class, this::receive);
        mTransport.subscribe(HoldingsQuery.class, this::receive);
        mContext.timers().every(REFRESH, this::refresh);
    }

    @Override
    public CompletionStage<Either<QuotaRefusal, QuotaPermit>> acquire(QuotaKey key) {
        mContext.membership().checkPause();
        return mHolder.acquire(key);
    }

    /** Returns the units that this router has of custodians, over all limits on concurrency. */
    public int held() {
        return mHolder.held();
    }

    private void refresh() {
        mContext.membership().checkPause();
        mHolder.refresh();
        mCustodian.sweep();
    }

    private void send(String vm, PeerMessage message) {
        if (vm.equals(mContext.ownVm())) {
            dispatch(vm, message);
        } else {
            mContext.membership().peer(vm).ifPresent(peer -> mTransport.send(peer, message));
        }
    }

    private void receive(String vm, PeerMessage message) {
        mContext.membership().checkPause();
        dispatch(vm, message);
    }

    private void dispatch(String vm, PeerMessage message) {
        if (message instanceof QuotaAsk ask) {
            mCustodian.onAsk(vm, ask);
        } else if (message instanceof QuotaAnswer answer) {
            mHolder.onAnswer(vm, answer);
        } else if (message instanceof HoldingsQuery query) {
            mHolder.onQuery(vm, query);
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
        public void onAwake() {
            mCustodian.onAwake();
            mHolder.onAwake();
        }
    }
}
