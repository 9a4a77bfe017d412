package io.rhubarbward.relay;

import io.rhubarbward.directory.RouterPresence;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.relay.FollowAnswer.KindNews;
import io.rhubarbward.store.KindUpdate;
import io.rhubarbward.store.KindWatcher;
import io.rhubarbward.store.StoreAvailability;
import io.rhubarbward.store.StoreRevision;
import io.rhubarbward.timer.TimerService;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Answers the routers that follow this one with what it has read from the store, and sends them
 * each change at once.
 */
final class StoreRelay {
    /** Time without a request after which a follower is forgotten. */
    private static final long FOLLOWER_EXPIRY_MILLIS = 3000;

    /** Staleness of the first kind from which this router no longer serves as a relay. */
    private static final long MAX_STALENESS_MILLIS = 3200;

    /** How recent the newest failed call of this router may be while it serves as a relay. */
    private static final long FAILURE_EXPIRY_MILLIS = 8000;

    /** Time in which an update that was sent is taken to arrive. */
    private static final long DELIVERY_MILLIS = 1000;

    /** Time without answers from which the connection to a follower is replaced. */
    private static final long RECONNECT_AFTER_MILLIS = 900;

    private static final long MIN_RECONNECT_INTERVAL_MILLIS = 2000;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<String, KindWatcher<?>> mWatchers = new LinkedHashMap<>();
    private final Map<String, KindHistory> mHistories = new LinkedHashMap<>();
    private final StoreAvailability mAvailability;
    private final Supplier<Map<String, RouterPresence>> mRouters;
    private final PeerTransport mTransport;
    private final TimerService mTimers;
    private final Runnable mCheckClocks;
    private final Map<String, Follower> mFollowers = new HashMap<>();
    private Runnable mOnFirstFollower = () -> {};
    private boolean mActive;
    private boolean mStopping;

    /**
     * Creates a relay of the watched kinds.
     *
     * @param watchers the kinds; whether this router serves depends on how recently the first one
     *     was read
     * @param checkClocks voids the watchers' confirmations if the clocks have jumped
     */
    StoreRelay(
            List<KindWatcher<?>> watchers,
            StoreAvailability availability,
            Supplier<Map<String, RouterPresence>> routers,
            PeerTransport transport,
            TimerService timers,
            Runnable checkClocks) {
        watchers.forEach(
                watcher -> {
                    mWatchers.put(watcher.name(), watcher);
                    mHistories.put(watcher.name(), new KindHistory(watcher.name()));
                    watcher.subscribeToUpdates(this::onUpdate);
                });
        mAvailability = availability;
        mRouters = routers;
        mTransport = transport;
        mTimers = timers;
        mCheckClocks = checkClocks;
    }

    private static final class Follower {
        private final Peer mPeer;
        private final Map<String, Sent> mSentByKind = new HashMap<>();
        private FollowRequest mRequest;
        private long mRequestedMillis;
        private long mReconnectedMillis = NEVER;
        private boolean mAnswered;

        Follower(Peer peer, FollowRequest request) {
            mPeer = peer;
            mRequest = request;
        }
    }

    /**
     * The newest update of a kind that was sent to a follower.
     *
     * @param revision the revision that the follower's state reaches with it
     * @param sentMillis when it was sent
     */
    private record Sent(StoreRevision revision, long sentMillis) {}

    /** Starts to accept requests; runs the action when a first follower asks. */
    void start(Runnable onFirstFollower) {
        mOnFirstFollower = onFirstFollower;
        mTransport.subscribe(FollowRequest.class, this::onRequest);
    }

    /** Sets whether this router itself calls the store; otherwise it serves no followers. */
    void setActive(boolean active) {
        mActive = active;
    }

    /** Tells followers from now on to use another relay, as this process is about to end. */
    void stop() {
        mStopping = true;
    }

    /** Returns how many routers use this one as their relay. */
    int followers() {
        long now = mTimers.nowMillis();
        mFollowers.values().removeIf(f -> now - f.mRequestedMillis > FOLLOWER_EXPIRY_MILLIS);
        return mFollowers.size();
    }

    boolean hasFollowers() {
        return followers() > 0;
    }

    private boolean serving() {
        return mActive
                && !mStopping
                && mWatchers.values().stream().allMatch(this::hasListedInCurrentEra)
                && mAvailability.millisSinceFailure() > FAILURE_EXPIRY_MILLIS
                && mWatchers.values().iterator().next().millisSinceSynchronised()
                        < MAX_STALENESS_MILLIS;
    }

    private boolean hasListedInCurrentEra(KindWatcher<?> watcher) {
        return watcher.hasListed() && !mAvailability.era().isPast(watcher.revision());
    }

    private void onRequest(String sender, FollowRequest request) {
        request.revisions()
                .values()
                .forEach(revision -> mAvailability.era().observe(revision.era(), sender));
        RouterPresence presence = mRouters.get().get(sender);
        if (presence == null || presence.address().isEmpty()) {
            return;
        }
        Peer peer = new Peer(sender, presence.dataCentre(), presence.address());
        boolean first = !hasFollowers();
        Follower follower = mFollowers.get(sender);
        if (follower == null || !follower.mPeer.equals(peer)) {
            follower = new Follower(peer, request);
            mFollowers.put(sender, follower);
        }
        long now = mTimers.nowMillis();
        follower.mRequest = request;
        follower.mRequestedMillis = now;
        follower.mAnswered = false;
        if (request.unansweredMillis() > RECONNECT_AFTER_MILLIS
                && now - follower.mReconnectedMillis > MIN_RECONNECT_INTERVAL_MILLIS) {
            follower.mReconnectedMillis = now;
            follower.mSentByKind.clear();
            mTransport.reconnect(peer);
        }
        if (first) {
            mOnFirstFollower.run();
        }
        mCheckClocks.run();
        if (serving()) {
            answer(follower);
        } else {
            mTransport.send(peer, FollowAnswer.notServing(request.sentMillis()));
        }
    }

    private void answer(Follower follower) {
        follower.mAnswered = true;
        List<KindNews> kinds =
                mHistories.entrySet().stream()
                        .map(entry -> news(follower, entry.getKey(), entry.getValue()))
                        .toList();
        mTransport.send(
                follower.mPeer,
                new FollowAnswer(
                        follower.mRequest.sentMillis(),
                        true,
                        mAvailability.millisSinceOutage(),
                        kinds));
    }

    private KindNews news(Follower follower, String kind, KindHistory history) {
        KindUpdate update = history.since(knownRevision(follower, kind));
        recordSent(follower, kind, update.revision());
        return new KindNews(
                update, Optional.ofNullable(mWatchers.get(kind)).orElseThrow().stalenessMillis());
    }

    /** Returns the revision that the follower has, or will have once it receives what was sent. */
    private StoreRevision knownRevision(Follower follower, String kind) {
        StoreRevision stated =
                follower.mRequest.revisions().getOrDefault(kind, KindUpdate.SNAPSHOT);
        Sent sent = follower.mSentByKind.get(kind);
        return sent != null
                        && mTimers.nowMillis() - sent.sentMillis() < DELIVERY_MILLIS
                        && sent.revision().isAfter(stated)
                ? sent.revision()
                : stated;
    }

    private void recordSent(Follower follower, String kind, StoreRevision revision) {
        if (revision.isAfter(knownRevision(follower, kind))) {
            follower.mSentByKind.put(kind, new Sent(revision, mTimers.nowMillis()));
        }
    }

    private void onUpdate(KindUpdate update) {
        Optional.ofNullable(mHistories.get(update.kind())).orElseThrow().apply(update);
        if (!mActive || !hasFollowers()) {
            return;
        }
        // Runs the rest once the watcher has recorded how up to date it is.
        mTimers.execute(this::answerUnanswered);
        if (!update.objects().isEmpty() && !update.snapshot()) {
            push(update);
        }
    }

    private void answerUnanswered() {
        if (serving()) {
            mFollowers.values().stream()
                    .filter(follower -> !follower.mAnswered)
                    .forEach(this::answer);
        }
    }

    private void push(KindUpdate update) {
        List<Follower> receivers =
                mFollowers.values().stream()
                        .filter(
                                follower ->
                                        !update.since()
                                                .isAfter(knownRevision(follower, update.kind())))
                        .toList();
        receivers.forEach(follower -> recordSent(follower, update.kind(), update.revision()));
        mTransport.sendToAll(
                receivers.stream().map(follower -> follower.mPeer).toList(),
                new FollowAnswer(
                        FollowAnswer.UNASKED,
                        true,
                        mAvailability.millisSinceOutage(),
                        List.of(new KindNews(update, 0))));
    }
}
