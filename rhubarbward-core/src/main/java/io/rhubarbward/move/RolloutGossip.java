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
 * Distributes rollout summaries and stops to all routers, by push and by anti-entropy.
 *
 * <p>Two relays in each data centre watch the platform and push changes to their peers. Every
 * router sends a digest to one random peer each second, which repairs lost pushes, and lets a new
 * router learn the rollouts from its peers during an outage of the platform.
 */
final class RolloutGossip {
    private static final String RELAY_KEY = "relay/moves";
    private static final int RELAYS_PER_DATA_CENTRE = 2;
    private static final int MAX_PUSH_PEERS = 64;
    private static final Duration INTERVAL = Duration.ofSeconds(1);
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);

    private final String mVm;
    private final RolloutView mView;
    private final ObjectStore mObjectStore;
    private final RolloutStore mRolloutStore;
    private final Membership mMembership;
    private final PeerTransport mPeers;
    private final TimerService mTimers;
    private final RandomGenerator mRandom;
    private final EventLog mEvents;
    private boolean mWatching;

    RolloutGossip(
            String vm,
            RolloutView view,
            ObjectStore store,
            Membership membership,
            PeerTransport peers,
            TimerService timers,
            RandomGenerator random,
            EventLog events) {
        mVm = vm;
        mView = view;
        mObjectStore = store;
        mRolloutStore = new RolloutStore(store);
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
        mTimers.every(INTERVAL, this::sendDigest);
        mTimers.every(INTERVAL, this::watchIfRelay);
    }

    /**
     * Takes a rollout read from or written to the platform, and pushes it to peers if it is new.
     */
    void onStoredRollout(StoredRollout stored) {
        RolloutSummary summary = RolloutSummary.of(stored);
        if (mView.updateIfNewer(summary)) {
            push(List.of(summary));
        }
    }

    /** Pushes the fleet-wide stops to peers. */
    void pushStops() {
        push(List.of());
    }

    /** Pushes to a bounded number of peers; the others learn the news through digests. */
    private void push(List<RolloutSummary> summaries) {
        RolloutNews news = new RolloutNews(summaries, mView.fleetStops());
        List<Peer> peers = mMembership.peers();
        int first = peers.isEmpty() ? 0 : mRandom.nextInt(peers.size());
        for (int i = 0; i < Math.min(MAX_PUSH_PEERS, peers.size()); i++) {
            mPeers.send(peers.get((first + i) % peers.size()), news);
        }
    }

    private void onNews(RolloutNews news) {
        news.summaries().forEach(mView::updateIfNewer);
        news.stopped().forEach(mView::stopEverywhere);
    }

    private void sendDigest() {
        List<Peer> peers = mMembership.peers();
        if (!peers.isEmpty()) {
            mPeers.send(peers.get(mRandom.nextInt(peers.size())), mView.digest());
        }
    }

    private void onDigest(String from, RolloutDigest digest) {
        digest.stopped().forEach(mView::stopEverywhere);
        mMembership.peers().stream()
                .filter(peer -> peer.vm().equals(from))
                .findFirst()
                .ifPresent(peer -> answer(peer, digest));
        if (digest.known() && isUpToDateWith(digest)) {
            mView.markLoaded();
        }
    }

    private void answer(Peer peer, RolloutDigest digest) {
        List<RolloutSummary> missing =
                mView.summaries().stream()
                        .filter(summary -> versionIn(digest, summary.name()) < summary.version())
                        .toList();
        if (!missing.isEmpty() || !digest.stopped().containsAll(mView.fleetStops())) {
            mPeers.send(peer, new RolloutNews(missing, mView.fleetStops()));
        }
        if (!isUpToDateWith(digest) || (mView.loaded() && !digest.known())) {
            mPeers.send(peer, mView.digest());
        }
    }

    private boolean isUpToDateWith(RolloutDigest digest) {
        return digest.versions().entrySet().stream()
                .allMatch(
                        held ->
                                mView.summary(held.getKey())
                                        .filter(summary -> summary.version() >= held.getValue())
                                        .isPresent());
    }

    private static long versionIn(RolloutDigest digest, String name) {
        return digest.versions().getOrDefault(name, 0L);
    }

    private boolean hasRelayRole() {
        return mMembership.owners(RELAY_KEY, RELAYS_PER_DATA_CENTRE).contains(mVm);
    }

    private void watchIfRelay() {
        if (!mWatching && hasRelayRole()) {
            mWatching = true;
            readAll(0);
        }
    }

    private void readAll(long revision) {
        mRolloutStore
                .list()
                .thenAccept(
                        read -> {
                            read.peek(this::onAllRead).peekLeft(this::logIfCorrupt);
                            if (read.isRight()) {
                                watch(revision);
                            } else {
                                mWatching = false;
                            }
                        });
    }

    private void onAllRead(List<StoredRollout> all) {
        all.forEach(this::onStoredRollout);
        mView.markLoaded();
    }

    private void logIfCorrupt(RolloutFailure failure) {
        if (failure instanceof RolloutFailure.Corrupt) {
            mEvents.log(
                    LogEvent.MOVE_RECORD_UNREADABLE, EventField.of("reason", failure.message()));
        }
    }

    private void watch(long revision) {
        if (hasRelayRole()) {
            mObjectStore
                    .watch(RolloutStore.KEY_PREFIX, revision, WATCH_TIMEOUT)
                    .thenAccept(this::onBatch);
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
                                        .peek(this::onStoredRollout)
                                        .peekLeft(this::logIfCorrupt));
        watch(batch.revision());
    }
}
