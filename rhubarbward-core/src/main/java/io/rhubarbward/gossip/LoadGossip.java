package io.rhubarbward.gossip;

import io.rhubarbward.directory.RouterPresence;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.placement.ServerTable;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Sends the number of requests that this router has in flight at each server to all other routers,
 * and sums up the numbers that they send.
 *
 * <p>The servers' own load reports arrive late and are the same for all routers, so that in a burst
 * all routers would choose the same server. The requests in flight at a router are known to it at
 * once and are counted by no other router.
 */
public final class LoadGossip {
    /**
     * Longest time between messages while fewer than {@link #ROUTERS_PER_PERIOD} routers are
     * listed. One more period is added for each further {@link #ROUTERS_PER_PERIOD}, to bound each
     * router's traffic.
     */
    private static final Duration BASE_PERIOD = Duration.ofMillis(200);

    private static final int ROUTERS_PER_PERIOD = 16;

    /**
     * Limit of messages a second that a router sends early, because of new requests: twice what
     * nine routers need at 14 requests a second each.
     */
    private static final int MAX_EARLY_MESSAGES_PER_SECOND = 250;

    private static final long MILLIS_PER_SECOND = 1000;

    /** Age from which a router's last message is no longer counted. */
    private static final long MESSAGE_EXPIRY_MILLIS = 1500;

    /** Time without an echo after which a connection may be dead although it looks open. */
    private static final long ECHO_TIMEOUT_MILLIS = 2000;

    /** Interval between messages to a router from which no echo comes. */
    private static final long PROBE_INTERVAL_MILLIS = 2000;

    private final String mSelf;
    private final Supplier<Map<String, RouterPresence>> mRouters;
    private final PeerTransport mTransport;
    private final ServerTable mTable;
    private final TimerService mTimers;
    private final Map<String, PeerState> mPeerStates = new HashMap<>();
    private TimerService.Subscription mNextBroadcast = () -> {};
    private long mLastBroadcastMillis;
    private boolean mEarlyBroadcastPending;

    /**
     * Exchanges messages with the other routers over the transport.
     *
     * @param self this router's VM name
     * @param routers returns the listed routers by VM name
     * @param table counts this router's requests in flight and takes those of the others
     */
    public LoadGossip(
            String self,
            Supplier<Map<String, RouterPresence>> routers,
            PeerTransport transport,
            ServerTable table,
            TimerService timers) {
        mSelf = self;
        mRouters = routers;
        mTransport = transport;
        mTable = table;
        mTimers = timers;
    }

    /** Starts to send and to receive messages. */
    public void start() {
        mTransport.subscribe(LoadNews.class, this::onMessage);
        mTable.subscribeToSends(this::broadcastEarly);
        mNextBroadcast = mTimers.after(BASE_PERIOD, this::broadcast);
    }

    /** Sends soon after a new request: the next router to place the same prompt part must know. */
    private void broadcastEarly() {
        if (!mEarlyBroadcastPending) {
            mEarlyBroadcastPending = true;
            long minIntervalMillis =
                    MILLIS_PER_SECOND * mRouters.get().size() / MAX_EARLY_MESSAGES_PER_SECOND;
            long waitMillis =
                    Math.max(0, mLastBroadcastMillis + minIntervalMillis - mTimers.nowMillis());
            mNextBroadcast.cancel();
            mNextBroadcast = mTimers.after(Duration.ofMillis(waitMillis), this::broadcast);
        }
    }

    private void broadcast() {
        mEarlyBroadcastPending = false;
        mLastBroadcastMillis = mTimers.nowMillis();
        Map<String, RouterPresence> routers = mRouters.get();
        Map<Integer, Integer> inFlight =
                mTable.servers().stream()
                        .filter(server -> server.inFlight() > 0)
                        .collect(
                                Collectors.toMap(
                                        server -> LoadNews.serverHash(server.server().name()),
                                        server -> server.inFlight(),
                                        Integer::sum));
        routers.forEach(
                (name, presence) -> {
                    if (!name.equals(mSelf) && !presence.address().isEmpty()) {
                        send(new Peer(name, presence.dataCentre(), presence.address()), inFlight);
                    }
                });
        mNextBroadcast =
                mTimers.after(
                        BASE_PERIOD.multipliedBy(1 + routers.size() / ROUTERS_PER_PERIOD),
                        this::broadcast);
    }

    private void send(Peer peer, Map<Integer, Integer> inFlight) {
        long now = mTimers.nowMillis();
        PeerState state = mPeerStates.computeIfAbsent(peer.vm(), name -> new PeerState(now));
        boolean echoOverdue = now - state.mNewestEchoMillis > ECHO_TIMEOUT_MILLIS;
        if (echoOverdue && now - state.mLastSentMillis < PROBE_INTERVAL_MILLIS) {
            return;
        }
        if (echoOverdue && state.mLastSentMillis != 0) {
            mTransport.reconnect(peer);
        }
        state.mLastSentMillis = now;
        mTransport.send(peer, new LoadNews(now, state.mPeerSentMillis, inFlight));
    }

    private void onMessage(String sender, LoadNews message) {
        long now = mTimers.nowMillis();
        PeerState state = mPeerStates.computeIfAbsent(sender, name -> new PeerState(now));
        state.mPeerSentMillis = message.sentMillis();
        state.mNewestEchoMillis = Math.max(state.mNewestEchoMillis, message.echoMillis());
        state.mReceivedMillis = now;
        state.mInFlight = message.inFlight();
        mTable.updateInFlightFromOthers(sumInFlight(now));
    }

    private Map<Integer, Integer> sumInFlight(long now) {
        return mPeerStates.values().stream()
                .filter(state -> now - state.mReceivedMillis < MESSAGE_EXPIRY_MILLIS)
                .flatMap(state -> state.mInFlight.entrySet().stream())
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue, Integer::sum));
    }

    /** State of the exchange with one peer; times are on this router's clock unless stated. */
    private static final class PeerState {
        /** The peer's own clock at the sending of its newest message; echoed to it. */
        private long mPeerSentMillis;

        /** Sending time of this router's newest message that the peer has echoed. */
        private long mNewestEchoMillis;

        private long mReceivedMillis = Long.MIN_VALUE / 2;
        private long mLastSentMillis;
        private Map<Integer, Integer> mInFlight = Map.of();

        PeerState(long nowMillis) {
            mNewestEchoMillis = nowMillis;
        }
    }
}
