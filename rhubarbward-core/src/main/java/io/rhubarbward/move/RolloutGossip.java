package io.rhubarbward.move;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.membership.Membership;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.store.ObjectStore;
import io.rhubarbward.store.PlatformFailure;
import io.rhubarbward.store.WatchBatch;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Brings the rollouts' words to every router.
 *
 * <p>Two routers of each data centre watch the platform and push what is new to their peers. Every
 * router sends a digest to one random peer each second, so that what was lost is repaired and a new
 * router learns what its peers know while the platform is out.
 */
final class RolloutGossip {
    private static final String RELAY_KEY = "relay/moves";
    private static final int RELAYS = 2;
    private static final int MAX_PUSHES = 64;
    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final Duration WATCH_WAIT = Duration.ofSeconds(20);

    private final String mVm;
    private final RolloutBoard mBoard;
    private final ObjectStore mStore;
    private final RolloutStore mRollouts;
    private final Membership mMembership;
    private final PeerTransport mPeers;
    private final TimerService mTimers;
    private final RandomGenerator mRandom;
    private final EventLog mEvents;
    private boolean mWatching;

    RolloutGossip(
            String vm,
            RolloutBoard board,
            ObjectStore store,
            Membership membership,
            PeerTransport peers,
            TimerService timers,
            RandomGenerator random,
            EventLog events) {
        mVm = vm;
        mBoard = board;
        mStore = store;
        mRollouts = new RolloutStore(store);
        mMembership = membership;
        mPeers = peers;
        mTimers = timers;
        mRandom = random;
        mEvents = events;
    }

    void start() {
        mPeers.subscribe(RolloutNews.class, (from, news) -> onNews(news));
        mPeers.subscribe(RolloutDigest.class, this::onDigest);
        mMembership.subscribe(vms -> watchIfRelay());
        mTimers.every(PERIOD, this::sendDigest);
        mTimers.every(PERIOD, this::watchIfRelay);
    }

    /** Takes what the platform said and passes it on if it is new. */
    void learned(StoredRollout stored) {
        RolloutSummary word = RolloutSummary.of(stored);
        if (mBoard.offer(word)) {
            push(List.of(word));
        }
    }

    /** Tells the peers which rollouts to stop. */
    void pushStops() {
        push(List.of());
    }

    /** Tells a bounded number of peers at once; the digests bring it to the others. */
    private void push(List<RolloutSummary> words) {
        RolloutNews news = new RolloutNews(words, mBoard.fleetStops());
        List<Peer> peers = mMembership.peers();
        int first = peers.isEmpty() ? 0 : mRandom.nextInt(peers.size());
        for (int i = 0; i < Math.min(MAX_PUSHES, peers.size()); i++) {
            mPeers.send(peers.get((first + i) % peers.size()), news);
        }
    }

    private void onNews(RolloutNews news) {
        news.summaries().forEach(mBoard::offer);
        news.stopped().forEach(mBoard::stopEverywhere);
    }

    private void sendDigest() {
        List<Peer> peers = mMembership.peers();
        if (!peers.isEmpty()) {
            mPeers.send(peers.get(mRandom.nextInt(peers.size())), mBoard.digest());
        }
    }

    private void onDigest(String from, RolloutDigest digest) {
        digest.stopped().forEach(mBoard::stopEverywhere);
        mMembership.peers().stream()
                .filter(peer -> peer.vm().equals(from))
                .findFirst()
                .ifPresent(peer -> answer(peer, digest));
        if (digest.known() && noneNewer(digest)) {
            mBoard.learned();
        }
    }

    private void answer(Peer peer, RolloutDigest digest) {
        List<RolloutSummary> missing =
                mBoard.words().stream()
                        .filter(word -> version(digest, word.name()) < word.version())
                        .toList();
        if (!missing.isEmpty() || !digest.stopped().containsAll(mBoard.fleetStops())) {
            mPeers.send(peer, new RolloutNews(missing, mBoard.fleetStops()));
        }
        if (!noneNewer(digest) || (mBoard.known() && !digest.known())) {
            mPeers.send(peer, mBoard.digest());
        }
    }

    private boolean noneNewer(RolloutDigest digest) {
        return digest.versions().entrySet().stream()
                .allMatch(
                        held ->
                                mBoard.word(held.getKey())
                                        .filter(word -> word.version() >= held.getValue())
                                        .isPresent());
    }

    private static long version(RolloutDigest digest, String name) {
        return digest.versions().getOrDefault(name, 0L);
    }

    private boolean relay() {
        return mMembership.owners(RELAY_KEY, RELAYS).contains(mVm);
    }

    private void watchIfRelay() {
        if (!mWatching && relay()) {
            mWatching = true;
            readAll(0);
        }
    }

    private void readAll(long revision) {
        mRollouts
                .list()
                .thenAccept(
                        read -> {
                            read.peek(this::learnedAll).peekLeft(this::unreadable);
                            if (read.isRight()) {
                                watch(revision);
                            } else {
                                mWatching = false;
                            }
                        });
    }

    private void learnedAll(List<StoredRollout> all) {
        all.forEach(this::learned);
        mBoard.learned();
    }

    private void unreadable(RolloutFailure failure) {
        if (failure instanceof RolloutFailure.Corrupt) {
            mEvents.log(
                    LogEvent.MOVE_RECORD_UNREADABLE, EventField.of("reason", failure.message()));
        }
    }

    private void watch(long revision) {
        if (relay()) {
            mStore.watch(RolloutStore.PREFIX, revision, WATCH_WAIT).thenAccept(this::onBatch);
        } else {
            mWatching = false;
        }
    }

    private void onBatch(Either<PlatformFailure, WatchBatch> result) {
        if (result.isLeft()) {
            mWatching = false;
            return;
        }
        WatchBatch batch = result.get();
        if (batch.gap()) {
            readAll(batch.revision());
            return;
        }
        batch.changes()
                .forEach(
                        object ->
                                RolloutStore.parse(object)
                                        .peek(this::learned)
                                        .peekLeft(this::unreadable));
        watch(batch.revision());
    }
}
