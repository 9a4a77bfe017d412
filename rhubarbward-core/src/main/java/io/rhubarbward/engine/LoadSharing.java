package io.rhubarbward.engine;

import io.rhubarbward.membership.Membership;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.timer.TimerService;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Passes the load of the engines that this router asks on to the peers of its data centre.
 *
 * <p>Ordinary load goes out in one message at each {@link #flush}. That an engine is leaving or
 * cold goes out at once, because others would go on to give it work.
 */
final class LoadSharing {
    private final String mDataCentre;
    private final BackendRegistry mRegistry;
    private final Membership mMembership;
    private final PeerTransport mPeers;
    private final TimerService mTimers;
    private final Set<String> mFresh = new TreeSet<>();
    private final Set<String> mKnownLeaving = new TreeSet<>();

    LoadSharing(
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

    /** Notes that this router, as an owner of the engine, has a new report of it. */
    void reported(String server, boolean leaving) {
        mFresh.add(server);
        boolean changed = leaving ? mKnownLeaving.add(server) : mKnownLeaving.remove(server);
        if (changed) {
            send(List.of(server));
        }
    }

    private void onCold(String server, ColdReason reason) {
        if (reason != ColdReason.TOLD_BY_PEER) {
            send(List.of(server));
        }
    }

    /** Sends what is new since the last time. */
    void flush() {
        send(List.copyOf(mFresh));
        mFresh.clear();
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
                                        .map(p -> shared(server, report, p.rampStart())));
    }

    private SharedLoad shared(String server, EngineObservation report, long rampStart) {
        return SharedLoad.of(server, report, rampStart, mTimers.nowMillis());
    }

    private void receive(LoadShare share) {
        long now = mTimers.nowMillis();
        share.loads()
                .forEach(
                        load ->
                                mRegistry
                                        .byShortForm(load.server())
                                        .ifPresent(
                                                name ->
                                                        mRegistry.observe(
                                                                name, load.observation(now))));
    }
}
