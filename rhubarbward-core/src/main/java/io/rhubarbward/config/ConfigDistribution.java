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
 * Brings every accepted configuration into force at this router and passes it on to its peers.
 *
 * <p>Two relays in each data centre watch the platform. A router that takes a generation offers it
 * to a few peers, which fetch what they lack and offer it in turn; the generation in each heartbeat
 * repairs what was missed.
 */
public final class ConfigDistribution implements StateSource {
    private static final int RELAY_SEATS = 2;
    private static final int OFFERS = 4;
    private static final Duration CONTACT_LIMIT = Duration.ofSeconds(6);

    private final ConfigIdentity mIdentity;
    private final ConfigReplica mReplica;
    private final ConfigPeers mPeers;
    private final PeerTransport mTransport;
    private final TimerService mTimers;
    private final PeerAnswers mAnswers;
    private final PeerPull mPull;
    private final PlatformRelay mRelay;
    private final StatusReporter mReporter;

    /** Puts the parts together; nothing runs until {@link #start}. */
    public ConfigDistribution(
            ConfigIdentity identity,
            CurrentConfiguration inForce,
            Membership membership,
            ObjectStore store,
            PeerTransport transport,
            TimerService timers,
            RandomGenerator random,
            EventLog events) {
        mIdentity = identity;
        mReplica = new ConfigReplica(inForce, events);
        mPeers = new ConfigPeers(identity, membership, timers, random);
        mTransport = transport;
        mTimers = timers;
        mAnswers = new PeerAnswers(identity, mReplica, mPeers, transport);
        mPull = new PeerPull(identity, mReplica, mPeers, transport, timers, this::offer);
        mReporter =
                new StatusReporter(
                        identity,
                        store,
                        this::holdsFirstSeat,
                        () -> mPeers.generations(mReplica.generation()),
                        timers);
        mRelay =
                new PlatformRelay(
                        identity,
                        store,
                        mReplica,
                        this::holdsSeat,
                        timers,
                        random,
                        events,
                        this::offer,
                        mReporter::forget);
    }

    /** Starts to follow the platform and the peers. */
    public void start() {
        mPeers.start();
        mAnswers.start();
        mPull.start();
        mRelay.start();
        mReporter.start();
    }

    /** Stops to watch the platform after the watch that waits now. */
    public void stop() {
        mRelay.stop();
    }

    /**
     * Returns whether this router would hear of a change: the platform or a peer was heard in the
     * last seconds, or there is no other router to hear.
     */
    public boolean hasRecentContact() {
        long contactMillis = Math.max(mPeers.heardMillis(), mRelay.answeredMillis());
        return !mPeers.knowsAny()
                || mTimers.nowMillis() - contactMillis <= CONTACT_LIMIT.toMillis();
    }

    private void offer() {
        Offer offer = new Offer(mReplica.generation());
        mPeers.behind(offer.generation(), OFFERS).forEach(peer -> mTransport.send(peer, offer));
    }

    /** A router that hears no peer watches for itself, whoever holds the seats. */
    private boolean holdsSeat() {
        return mPeers.relays(RELAY_SEATS).contains(mIdentity.vm()) || mPeers.alone();
    }

    private boolean holdsFirstSeat() {
        return mPeers.relays(1).contains(mIdentity.vm());
    }

    @Override
    public String name() {
        return "configDistribution";
    }

    @Override
    public Object state() {
        return Map.of(
                "relays", mPeers.relays(RELAY_SEATS),
                "watching", mRelay.watching(),
                "generations", mPeers.generations(mReplica.generation()),
                "inContact", hasRecentContact());
    }
}
