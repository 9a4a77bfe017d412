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
 * Tells every other router what this one has in flight, and adds up what they tell.
 *
 * <p>Reports of the servers themselves arrive late and look alike to all routers, so that a burst
 * would meet at the same server; what routers have sent is known at once and belongs to each alone.
 */
public final class LoadGossip {
    /**
     * Longest time between messages among up to {@link #FEW} routers; grows with the fleet to bound
     * each one's cost.
     */
    private static final Duration PERIOD = Duration.ofMillis(200);

    private static final int FEW = 16;

    /**
     * Messages a second in which a router tells of new requests before its period ends: twice what
     * nine routers need at 14 requests a second each.
     */
    private static final int PROMPT_MESSAGES_PER_SECOND = 250;

    private static final long SECOND_MILLIS = 1000;

    /** Age from which what a router told no longer counts. */
    private static final long NEWS_LIFE_MILLIS = 1500;

    /** Time without an echo after which the connection may be dead though it looks open. */
    private static final long SILENCE_MILLIS = 2000;

    /** Pause between messages to a router that does not answer. */
    private static final long PROBE_MILLIS = 2000;

    private final String mSelf;
    private final Supplier<Map<String, RouterPresence>> mRouters;
    private final PeerTransport mTransport;
    private final ServerTable mTable;
    private final TimerService mTimers;
    private final Map<String, Heard> mHeard = new HashMap<>();
    private TimerService.Subscription mNextTelling = () -> {};
    private long mToldMillis;
    private boolean mTellingSoon;

    /** Speaks to the routers over the transport. */
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

    /** Starts to tell and to listen. */
    public void start() {
        mTransport.subscribe(LoadNews.class, this::onNews);
        mTable.subscribeToSends(this::onSent);
        mNextTelling = mTimers.after(PERIOD, this::tellAll);
    }

    /** Tells of a new request soon: whoever places the next one for the same part must know. */
    private void onSent() {
        if (!mTellingSoon) {
            mTellingSoon = true;
            long gap = SECOND_MILLIS * mRouters.get().size() / PROMPT_MESSAGES_PER_SECOND;
            long wait = Math.max(0, mToldMillis + gap - mTimers.nowMillis());
            mNextTelling.cancel();
            mNextTelling = mTimers.after(Duration.ofMillis(wait), this::tellAll);
        }
    }

    private void tellAll() {
        mTellingSoon = false;
        mToldMillis = mTimers.nowMillis();
        Map<String, RouterPresence> routers = mRouters.get();
        Map<Integer, Integer> own =
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
                        tell(new Peer(name, presence.dataCentre(), presence.address()), own);
                    }
                });
        mNextTelling = mTimers.after(PERIOD.multipliedBy(1 + routers.size() / FEW), this::tellAll);
    }

    private void tell(Peer peer, Map<Integer, Integer> own) {
        long now = mTimers.nowMillis();
        Heard heard = mHeard.computeIfAbsent(peer.vm(), name -> new Heard(now));
        boolean silent = now - heard.mEchoedMillis > SILENCE_MILLIS;
        if (silent && now - heard.mToldMillis < PROBE_MILLIS) {
            return;
        }
        if (silent && heard.mToldMillis != 0) {
            mTransport.reconnect(peer);
        }
        heard.mToldMillis = now;
        mTransport.send(peer, new LoadNews(now, heard.mSentMillis, own));
    }

    private void onNews(String sender, LoadNews news) {
        long now = mTimers.nowMillis();
        Heard heard = mHeard.computeIfAbsent(sender, name -> new Heard(now));
        heard.mSentMillis = news.sentMillis();
        heard.mEchoedMillis = Math.max(heard.mEchoedMillis, news.echoMillis());
        heard.mHeardMillis = now;
        heard.mInFlight = news.inFlight();
        mTable.updateInFlightFromOthers(sum(now));
    }

    private Map<Integer, Integer> sum(long now) {
        return mHeard.values().stream()
                .filter(heard -> now - heard.mHeardMillis < NEWS_LIFE_MILLIS)
                .flatMap(heard -> heard.mInFlight.entrySet().stream())
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue, Integer::sum));
    }

    /** What was heard of one router; all times but the first are this router's own. */
    private static final class Heard {
        /** The sender's own clock in its newest message. */
        private long mSentMillis;

        private long mEchoedMillis;
        private long mHeardMillis = Long.MIN_VALUE / 2;
        private long mToldMillis;
        private Map<Integer, Integer> mInFlight = Map.of();

        Heard(long nowMillis) {
            mEchoedMillis = nowMillis;
        }
    }
}
