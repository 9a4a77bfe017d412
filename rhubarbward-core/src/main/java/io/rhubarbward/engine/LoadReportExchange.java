package io.rhubarbward.engine;

import io.rhubarbward.membership.Membership;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.timer.TimerService;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Exchanges engines' load reports with the other routers of the data centre.
 *
 * <p>Reports are batched into one message at each {@link #flush}. When this router finds an engine
 * cold, or one that it owns starts or stops leaving, the report is sent at once, because the peers
 * would otherwise go on sending requests to a cold or leaving engine.
 */
final class LoadReportExchange {
    private final String mDataCentre;
    private final BackendRegistry mRegistry;
    private final Membership mMembership;
    private final PeerTransport mPeers;
    private final TimerService mTimers;
    private final Set<String> mUnsentServers = new TreeSet<>();
    private final Set<String> mLeaving = new TreeSet<>();

    LoadReportExchange(
            String dataCentre,
            BackendRegistry registry,
            Membership membership,
            PeerTransport peers,
            TimerService timers) {
        mDataCentre = dataCentre;
        mRegistry = registry;
        mMembership = membership;
        mPeers = peers;
        mTimers = timers;
    }

    void start() {
        mPeers.subscribe(LoadShare.class, (sender, share) -> receive(share));
        mRegistry.subscribeCold(this::onCold);
    }

    /** Queues a new report that this router fetched as an owner of the engine. */
    void ownReportReceived(String server, boolean leaving) {
        mUnsentServers.add(server);
        boolean leavingChanged = leaving ? mLeaving.add(server) : mLeaving.remove(server);
        if (leavingChanged) {
            send(List.of(server));
        }
    }

    private void onCold(String server, ColdReason reason) {
        if (reason != ColdReason.TOLD_BY_PEER) {
            send(List.of(server));
        }
    }

    /** Sends the reports that arrived since the last flush. */
    void flush() {
        send(List.copyOf(mUnsentServers));
        mUnsentServers.clear();
    }

    private void send(List<String> servers) {
        LoadShare share =
                new LoadShare(servers.stream().map(this::load).flatMap(Optional::stream).toList());
        if (!share.loads().isEmpty()) {
            mMembership.peers().stream()
                    .filter(peer -> peer.dataCentre().equals(mDataCentre))
                    .forEach(peer -> mPeers.send(peer, share));
        }
    }

    private Optional<SharedLoad> load(String server) {
        return mRegistry
                .status(server)
                .flatMap(status -> Optional.ofNullable(status.report()))
                .flatMap(
                        report ->
                                mRegistry
                                        .progress(server)
                                        .map(
                                                progress ->
                                                        toSharedLoad(
                                                                server,
                                                                report,
                                                                progress.rampStart())));
    }

    private SharedLoad toSharedLoad(String server, EngineObservation report, long rampStart) {
        return SharedLoad.of(server, report, rampStart, mTimers.nowMillis());
    }

    private void receive(LoadShare share) {
        long nowMillis = mTimers.nowMillis();
        share.loads()
                .forEach(
                        load ->
                                mRegistry
                                        .byNameHash(load.server())
                                        .ifPresent(
                                                name ->
                                                        mRegistry.observe(
                                                                name,
                                                                load.toObservation(nowMillis))));
    }
}
