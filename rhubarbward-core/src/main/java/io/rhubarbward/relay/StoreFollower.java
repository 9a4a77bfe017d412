package io.rhubarbward.relay;

import io.rhubarbward.directory.RouterPresence;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.store.KindWatcher;
import io.rhubarbward.store.StoreAvailability;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Keeps the watched kinds up to date through a relay of this data centre, or by calls to the store
 * while this router is the relay or reaches none.
 *
 * <pre>{@code
 * StoreFollower follower = new StoreFollower(identity, watchers, availability, routers, ports);
 * follower.start();
 * }</pre>
 *
 * <p>A relay's answer confirms the state as of the request's sending time, less the staleness that
 * the relay states. Neither clocks that differ nor messages that arrive late make a confirmation
 * look newer than it is.
 */
public final class StoreFollower {
    /** How often a follower asks its relay: several times within the shortest bound of an age. */
    private static final Duration REQUEST_PERIOD = Duration.ofMillis(400);

    /** Time without an answer of a relay after which this router calls the store itself. */
    private static final long FALLBACK_AFTER_MILLIS = 1500;

    /** How long a router whose calls to the store fail leaves the relay to another. */
    private static final long FAILURE_EXPIRY_MILLIS = 8000;

    /** Staleness from which the preferred relay, which gets no confirmation, asks another one. */
    private static final long SUBSTITUTE_STALENESS_MILLIS = 2900;

    /** Time without an answer after which the connection to a relay is replaced. */
    private static final long RECONNECT_AFTER_MILLIS = 1500;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final List<KindWatcher<?>> mWatchers;
    private final Map<String, KindWatcher<?>> mWatchersByKind;
    private final StoreAvailability mAvailability;
    private final RelaySelection mSelection;
    private final StoreRelay mRelay;
    private final PeerTransport mTransport;
    private final TimerService mTimers;
    private final EventLog mEvents;
    private final Runnable mCheckClocks;
    private Source mSource = Source.LIST_AT_START;
    private long mStartedMillis;
    private long mSourceSinceMillis;
    private String mFollowed = "";
    private long mServedMillis = NEVER;

    /** Requests sent before this time confirm nothing. */
    private long mValidFromMillis = NEVER;

    /** Where this router's state of the store comes from. */
    private enum Source {
        LIST_AT_START(false),
        STORE_AS_RELAY(true),
        STORE_WITHOUT_RELAY(true),
        RELAY(false);

        private final boolean mCallsStore;

        Source(boolean callsStore) {
            mCallsStore = callsStore;
        }
    }

    /**
     * Creates a follower; {@link #start} starts it.
     *
     * @param self this router's VM name
     * @param dataCentre this router's data centre
     * @param watchers the kinds to keep up to date, the one whose age matters most first
     * @param routers returns the listed routers by VM name
     * @param checkClocks voids the watchers' confirmations if the clocks have jumped
     */
    public StoreFollower(
            String self,
            String dataCentre,
            List<KindWatcher<?>> watchers,
            StoreAvailability availability,
            Supplier<Map<String, RouterPresence>> routers,
            PeerTransport transport,
            TimerService timers,
            EventLog events,
            Runnable checkClocks) {
        mWatchers = watchers;
        mWatchersByKind =
                watchers.stream().collect(Collectors.toMap(KindWatcher::name, watcher -> watcher));
        mAvailability = availability;
        mSelection = new RelaySelection(self, dataCentre, routers, timers);
        mRelay = new StoreRelay(watchers, availability, routers, transport, timers, checkClocks);
        mTransport = transport;
        mTimers = timers;
        mEvents = events;
        mCheckClocks = checkClocks;
    }

    /** Lists the kinds from the store and then looks for a relay. */
    public void start() {
        mTransport.subscribe(FollowAnswer.class, this::onAnswer);
        mRelay.start(this::updateSource);
        mStartedMillis = mTimers.nowMillis();
        mWatchers.forEach(KindWatcher::startPaused);
        mTimers.every(REQUEST_PERIOD, this::askRelay);
    }

    /** Voids the answers to requests that were sent before now, as after a pause of the VM. */
    public void voidOpenRequests() {
        mValidFromMillis = mTimers.nowMillis() + 1;
        if (!mSource.mCallsStore) {
            mTimers.after(Duration.ofMillis(1), this::askRelay);
        }
    }

    /**
     * Returns the router of this data centre that aggregates load figures; empty if it is this
     * router.
     */
    public Optional<Peer> aggregator() {
        return mSelection.firstAlive();
    }

    /** Hands the followers over to another relay, before this process ends. */
    public void stopRelaying() {
        mRelay.stop();
    }

    /** Returns whether this router itself calls the store. */
    public boolean callsStore() {
        return mSource.mCallsStore;
    }

    /** Returns how many routers use this one as their relay. */
    public int followers() {
        return mRelay.followers();
    }

    private void askRelay() {
        boolean reachesStore = mAvailability.millisSinceFailure() > FAILURE_EXPIRY_MILLIS;
        RelaySelection.Choice choice = mSelection.choose(reachesStore);
        boolean callsLongEnough =
                mTimers.nowMillis() - mSourceSinceMillis > REQUEST_PERIOD.toMillis();
        if (choice.self()
                && callsLongEnough
                && mWatchers.get(0).millisSinceSynchronised() > SUBSTITUTE_STALENESS_MILLIS) {
            mSelection.choose(false).peers().forEach(this::ask);
        }
        choice.peers().forEach(this::ask);
        updateSource(choice.self());
    }

    private void ask(Peer peer) {
        long unansweredMillis = mSelection.unansweredMillis(peer.vm());
        if (unansweredMillis > RECONNECT_AFTER_MILLIS) {
            // The connection may be dead although it looks open.
            mTransport.reconnect(peer);
        }
        mTransport.send(
                peer,
                new FollowRequest(
                        mTimers.nowMillis(),
                        unansweredMillis,
                        mWatchers.stream()
                                .filter(KindWatcher::hasListed)
                                .collect(
                                        Collectors.toMap(
                                                KindWatcher::name, KindWatcher::revision))));
    }

    private void updateSource() {
        updateSource(mSource == Source.STORE_AS_RELAY);
    }

    private void updateSource(boolean firstChoice) {
        boolean served = mTimers.nowMillis() - mServedMillis <= FALLBACK_AFTER_MILLIS;
        if (firstChoice || mRelay.hasFollowers()) {
            switchTo(Source.STORE_AS_RELAY);
        } else if (served) {
            switchTo(Source.RELAY);
        } else if (mTimers.nowMillis() - mStartedMillis > FALLBACK_AFTER_MILLIS) {
            switchTo(Source.STORE_WITHOUT_RELAY);
        }
    }

    private void switchTo(Source source) {
        if (source == mSource) {
            return;
        }
        Source before = mSource;
        mSource = source;
        mSourceSinceMillis = mTimers.nowMillis();
        mRelay.setActive(source.mCallsStore);
        mEvents.log(
                LogEvent.STORE_SOURCE_CHANGED,
                EventField.of("before", before),
                EventField.of("now", source),
                EventField.of("relay", mFollowed),
                EventField.of("ageMs", mWatchers.get(0).stalenessMillis()));
        if (before.mCallsStore && !source.mCallsStore) {
            mWatchers.forEach(KindWatcher::pause);
        } else if (!before.mCallsStore && source.mCallsStore) {
            mWatchers.forEach(KindWatcher::resume);
        }
    }

    private void onAnswer(String sender, FollowAnswer answer) {
        mCheckClocks.run();
        boolean asked = answer.echoMillis() != FollowAnswer.UNASKED;
        if (asked) {
            mSelection.answered(sender, answer.serving() && !isOfPastEra(answer));
        }
        if (!answer.serving() || isOfPastEra(answer)) {
            return;
        }
        answer.kinds().forEach(news -> adopt(news, answer.echoMillis()));
        if (asked && answer.echoMillis() >= mValidFromMillis) {
            mServedMillis = mTimers.nowMillis();
            mAvailability.reachedThroughPeer(answer.millisSinceOutage());
            follow(sender);
        }
    }

    private boolean isOfPastEra(FollowAnswer answer) {
        return answer.kinds().stream()
                .anyMatch(news -> mAvailability.era().isPast(news.update().revision()));
    }

    private void adopt(FollowAnswer.KindNews news, long echoMillis) {
        KindWatcher<?> watcher = mWatchersByKind.get(news.update().kind());
        if (watcher == null) {
            return;
        }
        watcher.adopt(news.update());
        if (echoMillis != FollowAnswer.UNASKED && echoMillis >= mValidFromMillis) {
            watcher.confirm(news.update().revision(), echoMillis - news.stalenessMillis());
        }
    }

    private void follow(String relay) {
        if (!relay.equals(mFollowed)) {
            mEvents.log(
                    LogEvent.RELAY_FOLLOWED,
                    EventField.of("relay", relay),
                    EventField.of("before", mFollowed),
                    EventField.of("ageMs", mWatchers.get(0).stalenessMillis()));
            mFollowed = relay;
        }
    }
}
