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
 * <p>Peers announce their generations in offers and in every heartbeat. If a peer makes no progress
 * within the idle limit, the fetch starts again at any peer that is ahead; chunks that have arrived
 * are kept.
 */
final class PeerConfigFetcher {
    private static final Duration CHECK_PERIOD = Duration.ofMillis(100);
    private static final Duration IDLE_LIMIT = Duration.ofMillis(300);
    private static final Duration PROBE_PERIOD = Duration.ofSeconds(1);
    private static final Duration REFUSAL_PAUSE = Duration.ofSeconds(5);
    private static final int MAX_CHUNKS_PER_REQUEST = 16;

    private final ConfigIdentity mIdentity;
    private final ConfigReplica mReplica;
    private final PeerGenerationTracker mPeerGenerations;
    private final PeerTransport mTransport;
    private final TimerService mTimers;
    private final Runnable mOnActivated;
    private @Nullable Fetch mFetch;
    private long mRefusedGeneration;
    private long mRefusedAtMillis;
    private @Nullable Peer mProbedPeer;
    private long mLastProbeMillis = -PROBE_PERIOD.toMillis();

    PeerConfigFetcher(
            ConfigIdentity identity,
            ConfigReplica replica,
            PeerGenerationTracker peerGenerations,
            PeerTransport transport,
            TimerService timers,
            Runnable onActivated) {
        mIdentity = identity;
        mReplica = replica;
        mPeerGenerations = peerGenerations;
        mTransport = transport;
        mTimers = timers;
        mOnActivated = onActivated;
    }

    void start() {
        mTransport.subscribe(Heartbeat.class, this::onHeartbeat);
        mTransport.subscribe(Offer.class, this::onOffer);
        mTransport.subscribe(HeadAnswer.class, this::onHeadAnswer);
        mTransport.subscribe(ChunkAnswer.class, this::onChunkAnswer);
        mTimers.every(CHECK_PERIOD, this::check);
        check();
    }

    private void onHeartbeat(String vm, Heartbeat heartbeat) {
        mPeerGenerations.onHeartbeat(vm, heartbeat);
        fetchIfBehind();
    }

    private void onOffer(String vm, Offer offer) {
        mPeerGenerations.recordContact(vm, offer.generation());
        fetchIfBehind();
    }

    private void check() {
        Fetch fetch = mFetch;
        if (fetch != null
                && mTimers.nowMillis() - fetch.lastProgressMillis() > IDLE_LIMIT.toMillis()) {
            mFetch = null;
        }
        fetchIfBehind();
        probe();
    }

    private void fetchIfBehind() {
        if (mFetch != null) {
            return;
        }
        mPeerGenerations.peersAhead(generationFloor()).stream()
                .findFirst()
                .ifPresent(this::startFetch);
    }

    /**
     * Asks a random router for a newer head once per probe period, and more often before the first
     * configuration. Other routers learn of a new router only with their next VM list, and until
     * then neither their heartbeats nor their offers reach it.
     */
    private void probe() {
        Duration period = mReplica.generation() == 0 ? IDLE_LIMIT : PROBE_PERIOD;
        if (mTimers.nowMillis() - mLastProbeMillis >= period.toMillis()) {
            mPeerGenerations.randomRouter().ifPresent(this::probe);
        }
    }

    private void probe(Peer peer) {
        mLastProbeMillis = mTimers.nowMillis();
        mProbedPeer = peer;
        requestHead(peer);
    }

    private void requestHead(Peer peer) {
        mTransport.send(
                peer, new HeadRequest(mIdentity.site(), generationFloor(), mIdentity.address()));
    }

    /**
     * Returns the generation that a peer must exceed. For a while after a refusal it includes the
     * refused generation, so that this one is not requested again at once.
     */
    private long generationFloor() {
        boolean refusedRecently = mTimers.nowMillis() - mRefusedAtMillis < REFUSAL_PAUSE.toMillis();
        return refusedRecently
                ? Math.max(mRefusedGeneration, mReplica.generation())
                : mReplica.generation();
    }

    private void recordRefusal(SiteHead head) {
        mRefusedGeneration = head.generation();
        mRefusedAtMillis = mTimers.nowMillis();
    }

    private void startFetch(Peer from) {
        mFetch = new Fetch(from, null, mTimers.nowMillis());
        requestHead(from);
    }

    private void onHeadAnswer(String vm, HeadAnswer answer) {
        mPeerGenerations.recordContact(vm, answer.head().generation());
        Fetch fetch = mFetch;
        boolean receivingChunks = fetch != null && fetch.head() != null;
        if (!receivingChunks) {
            // A sender that the membership lacks is taken to be the seed that was asked.
            Peer expectedPeer = fetch != null ? fetch.from() : mProbedPeer;
            String address = expectedPeer == null ? "" : expectedPeer.address();
            Peer from = mPeerGenerations.peer(vm, address);
            continueFetch(new Fetch(from, answer.head(), mTimers.nowMillis()));
        }
    }

    private void onChunkAnswer(String vm, ChunkAnswer answer) {
        Fetch fetch = mFetch;
        if (fetch == null || fetch.head() == null || !fetch.from().vm().equals(vm)) {
            return;
        }
        List<String> missing = mReplica.missingChunks(fetch.head());
        List<String> needed =
                answer.texts().stream().filter(text -> missing.contains(Sha256.of(text))).toList();
        if (!needed.isEmpty()) {
            needed.forEach(mReplica::addChunk);
            continueFetch(new Fetch(fetch.from(), fetch.head(), mTimers.nowMillis()));
        }
    }

    private void continueFetch(Fetch fetch) {
        SiteHead head = fetch.head();
        if (head == null || !mReplica.isCandidate(head)) {
            mFetch = null;
            if (head != null) {
                recordRefusal(head);
            }
            return;
        }
        List<String> missing = mReplica.missingChunks(head);
        if (missing.isEmpty()) {
            mFetch = null;
            activate(head);
            return;
        }
        mFetch = fetch;
        List<String> names = missing.stream().limit(MAX_CHUNKS_PER_REQUEST).toList();
        mTransport.send(fetch.from(), new ChunkRequest(names, mIdentity.address()));
    }

    private void activate(SiteHead head) {
        if (mReplica.activate(head)) {
            mOnActivated.run();
        } else {
            recordRefusal(head);
        }
    }

    /**
     * A fetch in progress.
     *
     * @param from the peer that the configuration is fetched from
     * @param head the peer's head; null until it has answered
     * @param lastProgressMillis when the fetch started or last received something it needed
     */
    private record Fetch(Peer from, @Nullable SiteHead head, long lastProgressMillis) {}
}
