package io.rhubarbward.relay;

import io.rhubarbward.crash.CrashSuspect;
import io.rhubarbward.crash.CrashSuspects;
import io.rhubarbward.directory.RouterPresence;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Spreads what routers observe about requests that crash servers through the aggregators of the
 * data centres, so that no router sends to all others.
 *
 * <p>News passes from a router to its aggregator, from there to the routers of the data centre and
 * to those of the others, and is passed on only by routers to which it is new. Load messages carry
 * a digest of what their sender knows; a receiver whose own differs sends all it knows. So routers
 * that join, were frozen or lost a message catch up, and what is known outlives every aggregator.
 */
final class SuspectExchange {
    /** Collects the observations of one crash, which arrive together, into one message. */
    private static final Duration SEND_DELAY = Duration.ofMillis(10);

    /** Collects answers, which are many and spare a trait only when others are blamed. */
    private static final Duration ANSWERS_SEND_DELAY = Duration.ofMillis(250);

    /** Shortest time between two messages with all suspects to the same router. */
    private static final long MIN_CATCH_UP_INTERVAL_MILLIS = 1000;

    /** Routers of each other data centre that get news; one of them may not run. */
    private static final int RECEIVERS_PER_DATA_CENTRE = 2;

    private final String mSelf;
    private final String mDataCentre;
    private final Supplier<Map<String, RouterPresence>> mRouters;
    private final Supplier<Optional<Peer>> mAggregatorPeer;
    private final PeerTransport mTransport;
    private final CrashSuspects mSuspects;
    private final TimerService mTimers;
    private final Map<Long, CrashSuspect> mUnsent = new HashMap<>();
    private long mSendDueMillis;
    private final Map<String, Long> mCaughtUpMillis = new HashMap<>();

    SuspectExchange(
            String self,
            String dataCentre,
            Supplier<Map<String, RouterPresence>> routers,
            Supplier<Optional<Peer>> aggregator,
            PeerTransport transport,
            CrashSuspects suspects,
            TimerService timers) {
        mSelf = self;
        mDataCentre = dataCentre;
        mRouters = routers;
        mAggregatorPeer = aggregator;
        mTransport = transport;
        mSuspects = suspects;
        mTimers = timers;
    }

    void start() {
        mTransport.subscribe(SuspectNews.class, this::onNews);
        mSuspects.subscribe(
                (changed, crashed) ->
                        sendAfter(crashed ? SEND_DELAY : ANSWERS_SEND_DELAY, changed));
    }

    long digest() {
        return mSuspects.digest();
    }

    private void onNews(String sender, SuspectNews news) {
        Map<Long, CrashSuspect> known =
                news.suspects().stream()
                        .flatMap(suspect -> mSuspects.find(suspect.trait()).stream())
                        .collect(
                                Collectors.toMap(
                                        CrashSuspect::trait,
                                        Function.identity(),
                                        (one, same) -> one));
        List<CrashSuspect> changed = mSuspects.merge(news.suspects());
        List<CrashSuspect> toSend =
                fromAggregator(sender) ? unknownTo(news.suspects(), changed) : changed;
        if (!toSend.isEmpty()) {
            boolean crashed = toSend.stream().anyMatch(suspect -> isWorse(suspect, known));
            sendAfter(crashed ? SEND_DELAY : ANSWERS_SEND_DELAY, toSend);
        }
    }

    private static boolean isWorse(CrashSuspect suspect, Map<Long, CrashSuspect> known) {
        CrashSuspect before = known.get(suspect.trait());
        return before == null || suspect.worseThan(before);
    }

    private boolean fromAggregator(String sender) {
        return mAggregatorPeer.get().filter(peer -> peer.vm().equals(sender)).isPresent();
    }

    /** Returns the suspects of which this router knows more than was told. */
    private static List<CrashSuspect> unknownTo(
            List<CrashSuspect> told, List<CrashSuspect> changed) {
        Set<Long> digests = told.stream().map(CrashSuspect::digest).collect(Collectors.toSet());
        return changed.stream().filter(suspect -> !digests.contains(suspect.digest())).toList();
    }

    private void sendAfter(Duration delay, List<CrashSuspect> changed) {
        long dueMillis = mTimers.nowMillis() + delay.toMillis();
        if (mUnsent.isEmpty() || dueMillis < mSendDueMillis) {
            mSendDueMillis = dueMillis;
            mTimers.after(delay, this::send);
        }
        changed.forEach(suspect -> mUnsent.put(suspect.trait(), suspect));
    }

    private void send() {
        if (mUnsent.isEmpty()) {
            return;
        }
        SuspectNews news = new SuspectNews(List.copyOf(mUnsent.values()));
        mUnsent.clear();
        mTransport.sendToAll(receivers(), news);
    }

    private List<Peer> receivers() {
        return mAggregatorPeer.get().map(List::of).orElseGet(this::receiversOfAggregator);
    }

    private List<Peer> receiversOfAggregator() {
        Map<String, RouterPresence> routers = mRouters.get();
        Set<String> dataCentres =
                routers.values().stream()
                        .map(RouterPresence::dataCentre)
                        .collect(Collectors.toCollection(HashSet::new));
        dataCentres.remove(mDataCentre);
        Stream<Peer> own =
                RelaySelection.inOrderOfPreference(routers, mDataCentre).stream()
                        .filter(peer -> !peer.vm().equals(mSelf));
        Stream<Peer> others =
                dataCentres.stream()
                        .flatMap(
                                dataCentre ->
                                        RelaySelection.inOrderOfPreference(routers, dataCentre)
                                                .stream()
                                                .limit(RECEIVERS_PER_DATA_CENTRE));
        return Stream.concat(own, others).toList();
    }

    /** Sends all suspects to a router whose digest differs from this router's. */
    void compareDigest(String vm, long digest) {
        RouterPresence presence = mRouters.get().get(vm);
        if (digest == mSuspects.digest()
                || mSuspects.empty()
                || presence == null
                || presence.address().isEmpty()
                || vm.equals(mSelf)) {
            return;
        }
        long now = mTimers.nowMillis();
        Long caughtUpMillis = mCaughtUpMillis.get(vm);
        if (Objects.isNull(caughtUpMillis)
                || now - caughtUpMillis >= MIN_CATCH_UP_INTERVAL_MILLIS) {
            mCaughtUpMillis.put(vm, now);
            mTransport.send(
                    new Peer(vm, presence.dataCentre(), presence.address()),
                    new SuspectNews(mSuspects.all()));
        }
    }
}
