package io.rhubarbward.config;

import io.rhubarbward.config.ConfigMessage.ChunkAnswer;
import io.rhubarbward.config.ConfigMessage.ChunkRequest;
import io.rhubarbward.config.ConfigMessage.HeadAnswer;
import io.rhubarbward.config.ConfigMessage.HeadRequest;
import io.rhubarbward.config.ConfigMessage.Offer;
import io.rhubarbward.membership.Heartbeat;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Fetches a newer configuration from a peer that has it: the head, then the chunks that are
 * missing.
 *
 * <p>Peers tell what they have in offers and in every heartbeat. A peer that falls silent is given
 * up for another; what it had sent is kept.
 */
final class PeerPull {
    private static final Duration CHECK_PERIOD = Duration.ofMillis(100);
    private static final Duration IDLE_LIMIT = Duration.ofMillis(300);
    private static final Duration PROBE_PERIOD = Duration.ofSeconds(1);
    private static final Duration REFUSAL_PAUSE = Duration.ofSeconds(5);
    private static final int CHUNKS_PER_REQUEST = 16;

    private final ConfigIdentity mIdentity;
    private final ConfigReplica mReplica;
    private final ConfigPeers mPeers;
    private final PeerTransport mTransport;
    private final TimerService mTimers;
    private final Runnable mOnTaken;
    private @Nullable Pull mPull;
    private long mRefusedGeneration;
    private long mRefusedMillis;
    private @Nullable Peer mProbed;
    private long mProbedMillis = -PROBE_PERIOD.toMillis();

    PeerPull(
            ConfigIdentity identity,
            ConfigReplica replica,
            ConfigPeers peers,
            PeerTransport transport,
            TimerService timers,
            Runnable onTaken) {
        mIdentity = identity;
        mReplica = replica;
        mPeers = peers;
        mTransport = transport;
        mTimers = timers;
        mOnTaken = onTaken;
    }

    void start() {
        mTransport.subscribe(Heartbeat.class, this::onHeartbeat);
        mTransport.subscribe(Offer.class, this::onOffer);
        mTransport.subscribe(HeadAnswer.class, this::onHead);
        mTransport.subscribe(ChunkAnswer.class, this::onChunks);
        mTimers.every(CHECK_PERIOD, this::check);
        check();
    }

    private void onHeartbeat(String vm, Heartbeat heartbeat) {
        mPeers.onHeartbeat(vm, heartbeat);
        pullIfBehind();
    }

    private void onOffer(String vm, Offer offer) {
        mPeers.heard(vm, offer.generation());
        pullIfBehind();
    }

    private void check() {
        Pull pull = mPull;
        if (pull != null && mTimers.nowMillis() - pull.atMillis() > IDLE_LIMIT.toMillis()) {
            mPull = null;
        }
        pullIfBehind();
        probe();
    }

    private void pullIfBehind() {
        if (mPull != null) {
            return;
        }
        mPeers.ahead(floor()).stream().findFirst().ifPresent(this::pull);
    }

    /**
     * Asks some router for what is newer, each second and more often before the first
     * configuration: others learn of a new router only with their next VM list, and until then
     * neither their heartbeats nor their offers reach it.
     */
    private void probe() {
        Duration period = mReplica.generation() == 0 ? IDLE_LIMIT : PROBE_PERIOD;
        if (mTimers.nowMillis() - mProbedMillis >= period.toMillis()) {
            mPeers.anybody().ifPresent(this::probe);
        }
    }

    private void probe(Peer peer) {
        mProbedMillis = mTimers.nowMillis();
        mProbed = peer;
        requestHead(peer);
    }

    private void requestHead(Peer peer) {
        mTransport.send(peer, new HeadRequest(mIdentity.site(), floor(), mIdentity.address()));
    }

    /** What a peer must be above; a refused generation is not asked for again at once. */
    private long floor() {
        boolean pause = mTimers.nowMillis() - mRefusedMillis < REFUSAL_PAUSE.toMillis();
        return pause ? Math.max(mRefusedGeneration, mReplica.generation()) : mReplica.generation();
    }

    private void refused(SiteHead head) {
        mRefusedGeneration = head.generation();
        mRefusedMillis = mTimers.nowMillis();
    }

    private void pull(Peer from) {
        mPull = new Pull(from, null, mTimers.nowMillis());
        requestHead(from);
    }

    private void onHead(String vm, HeadAnswer answer) {
        mPeers.heard(vm, answer.head().generation());
        Pull pull = mPull;
        boolean busy = pull != null && pull.head() != null;
        if (!busy) {
            // Who is not in the VM list is the seed that was asked.
            Peer asked = pull != null ? pull.from() : mProbed;
            String address = asked == null ? "" : asked.address();
            Peer from = mPeers.peer(vm, address);
            requestMissing(new Pull(from, answer.head(), mTimers.nowMillis()));
        }
    }

    private void onChunks(String vm, ChunkAnswer answer) {
        Pull pull = mPull;
        if (pull == null || pull.head() == null || !pull.from().vm().equals(vm)) {
            return;
        }
        List<String> missing = mReplica.missing(pull.head());
        List<String> needed =
                answer.texts().stream().filter(text -> missing.contains(Sha256.of(text))).toList();
        if (!needed.isEmpty()) {
            needed.forEach(mReplica::add);
            requestMissing(new Pull(pull.from(), pull.head(), mTimers.nowMillis()));
        }
    }

    private void requestMissing(Pull pull) {
        SiteHead head = pull.head();
        if (head == null || !mReplica.wants(head)) {
            mPull = null;
            if (head != null) {
                refused(head);
            }
            return;
        }
        List<String> missing = mReplica.missing(head);
        if (missing.isEmpty()) {
            mPull = null;
            take(head);
            return;
        }
        mPull = pull;
        List<String> names = missing.stream().limit(CHUNKS_PER_REQUEST).toList();
        mTransport.send(pull.from(), new ChunkRequest(names, mIdentity.address()));
    }

    private void take(SiteHead head) {
        if (mReplica.take(head)) {
            mOnTaken.run();
        } else {
            refused(head);
        }
    }

    /**
     * A fetch that goes on.
     *
     * @param from the peer asked
     * @param head its head; null until it has answered
     * @param atMillis when it last moved on
     */
    private record Pull(Peer from, @Nullable SiteHead head, long atMillis) {}
}
