package io.rhubarbward.config;

import io.rhubarbward.config.ConfigMessage.Offer;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.membership.Membership;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.state.StateSource;
import io.rhubarbward.store.ObjectStore;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Distributes accepted configurations: puts each into force at this router and spreads it to its
 * peers by gossip.
 *
 * <p>Two routers in each data centre, the relays, watch the platform. A router that puts a
 * generation into force offers it to a few peers of its data centre, which fetch the parts that
 * they lack and offer it in turn. Each heartbeat carries the sender's generation, so that a router
 * that missed an offer catches up (anti-entropy).
 */
public final class ConfigDistribution implements StateSource {
    private static final int RELAYS_PER_DATA_CENTRE = 2;
    private static final int MAX_OFFERED_PEERS = 4;
    private static final Duration CONTACT_LIMIT = Duration.ofSeconds(6);

    private final ConfigIdentity mIdentity;
    private final ConfigReplica mReplica;
    private final PeerGenerationTracker mPeerGenerations;
    private final PeerTransport mTransport;
    private final TimerService mTimers;
    private final PeerRequestHandler mRequestHandler;
    private final PeerConfigFetcher mFetcher;
    private final PlatformRelay mRelay;
    private final StatusReporter mStatusReporter;

    /** Creates the distribution; nothing runs until {@link #start}. */
    public ConfigDistribution(
            ConfigIdentity identity,
            CurrentConfiguration currentConfiguration,
            Membership membership,
            ObjectStore store,
            PeerTransport transport,
            TimerService timers,
            RandomGenerator random,
            EventLog events) {
        mIdentity = identity;
        mReplica = new ConfigReplica(currentConfiguration, events);
        mPeerGenerations = new PeerGenerationTracker(identity, membership, timers, random);
        mTransport = transport;
        mTimers = timers;
        mRequestHandler = new PeerRequestHandler(identity, mReplica, mPeerGenerations, transport);
        mFetcher =
                new PeerConfigFetcher(
                        identity,
                        mReplica,
                        mPeerGenerations,
                        transport,
                        timers,
                        this::offerToPeers);
        mStatusReporter =
                new StatusReporter(
                        identity,
                        store,
                        this::actsAsFirstRelay,
                        () -> mPeerGenerations.generations(mReplica.generation()),
                        timers);
        mRelay =
                new PlatformRelay(
                        identity,
                        store,
                        mReplica,
                        this::actsAsRelay,
                        timers,
                        random,
                        events,
                        this::offerToPeers,
                        mStatusReporter::rewriteAtNextCheck);
    }

    /** Starts to watch the platform and to exchange configurations with the peers. */
    public void start() {
        mPeerGenerations.start();
        mRequestHandler.start();
        mFetcher.start();
        mRelay.start();
        mStatusReporter.start();
    }

    /** Sends no further watch to the platform; one that is pending still completes. */
    public void stop() {
        mRelay.stop();
    }

    /**
     * Returns whether this router would learn of a change: the platform or a peer was heard from
     * within the contact limit, or there is no other router.
     */
    public boolean hasRecentContact() {
        long lastContactMillis =
                Math.max(mPeerGenerations.lastContactMillis(), mRelay.lastAnswerMillis());
        return !mPeerGenerations.knowsOtherRouter()
                || mTimers.nowMillis() - lastContactMillis <= CONTACT_LIMIT.toMillis();
    }

    private void offerToPeers() {
        Offer offer = new Offer(mReplica.generation());
        mPeerGenerations
                .peersBehind(offer.generation(), MAX_OFFERED_PEERS)
                .forEach(peer -> mTransport.send(peer, offer));
    }

    /**
     * A router that hears from no peer watches the platform itself, whichever routers are relays.
     */
    private boolean actsAsRelay() {
        return mPeerGenerations.relays(RELAYS_PER_DATA_CENTRE).contains(mIdentity.vm())
                || mPeerGenerations.isolated();
    }

    private boolean actsAsFirstRelay() {
        return mPeerGenerations.relays(1).contains(mIdentity.vm());
    }

    @Override
    public String name() {
        return "configDistribution";
    }

    @Override
    public Object state() {
        return Map.of(
                "relays", mPeerGenerations.relays(RELAYS_PER_DATA_CENTRE),
                "watching", mRelay.watching(),
                "generations", mPeerGenerations.generations(mReplica.generation()),
                "inContact", hasRecentContact());
    }
}
