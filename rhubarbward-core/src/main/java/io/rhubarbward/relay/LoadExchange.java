package io.rhubarbward.relay;

import io.rhubarbward.admission.AccountUsage;
import io.rhubarbward.directory.RouterPresence;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.move.FleetRollouts;
import io.rhubarbward.placement.LimitObservation;
import io.rhubarbward.placement.ServerTable;
import io.rhubarbward.placement.TrackedServer;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Tells the aggregator of this data centre how many requests this router has in flight at each
 * backend server, and learns from it what all other routers have.
 *
 * <p>The servers' own load reports arrive late and are the same for all routers, so that in a burst
 * all routers would choose the same server. What a router has in flight is known to it at once and
 * is counted by no other router. Messages a router are bounded whatever the size of the fleet.
 */
public final class LoadExchange {
    /** Longest time between two reports, so that the aggregator knows that this router runs. */
    private static final Duration MAX_REPORT_INTERVAL = Duration.ofMillis(500);

    /** Period in which ended requests are reported; new ones are reported earlier. */
    private static final Duration REPORT_PERIOD = Duration.ofMillis(200);

    /** Shortest interval between messages, for each router of the fleet. */
    private static final double MIN_INTERVAL_MILLIS_PER_ROUTER = 1.5;

    /** Limit of that interval: placements rely on totals that are not much older. */
    private static final long MAX_MIN_INTERVAL_MILLIS = 100;

    private static final int MAX_KEPT_REPORTS = 32;

    private final String mSelf;
    private final Supplier<Map<String, RouterPresence>> mRouters;
    private final Supplier<Optional<Peer>> mAggregatorPeer;
    private final PeerTransport mTransport;
    private final FleetRollouts mRollouts;
    private final ServerTable mTable;
    private final AccountUsage mUsage;
    private final Predicate<String> mWantsRoom;
    private final TimerService mTimers;
    private final SuspectExchange mSuspects;
    private final LoadAggregator mAggregator;
    private final Deque<LoadReport> mSentReports = new ArrayDeque<>();
    private long mSequence;
    private long mReportedMillis = Long.MIN_VALUE / 2;
    private boolean mEarlyReportPending;

    /**
     * Creates an exchange; {@link #start} starts it.
     *
     * @param self this router's VM name
     * @param dataCentre this router's data centre
     * @param routers returns the listed routers by VM name
     * @param aggregator returns the router to report to; empty if it is this one
     * @param state has this router's figures and takes those of the others
     */
    public LoadExchange(
            String self,
            String dataCentre,
            Supplier<Map<String, RouterPresence>> routers,
            Supplier<Optional<Peer>> aggregator,
            PeerTransport transport,
            ExchangedState state,
            TimerService timers) {
        mSelf = self;
        mRouters = routers;
        mAggregatorPeer = aggregator;
        mTransport = transport;
        mRollouts = state.rollouts();
        mTable = state.table();
        mUsage = state.usage();
        mWantsRoom = state.wantsRoom();
        mTimers = timers;
        mSuspects =
                new SuspectExchange(
                        self, dataCentre, routers, aggregator, transport, state.suspects(), timers);
        mAggregator =
                new LoadAggregator(
                        self,
                        dataCentre,
                        routers,
                        aggregator,
                        transport,
                        mSuspects,
                        timers,
                        this::minIntervalMillis,
                        this::onTotals);
    }

    /** Starts to send and to receive messages. */
    public void start() {
        mTransport.subscribe(
                LoadTotals.class,
                (sender, totals) -> {
                    mSuspects.compareDigest(sender, totals.suspectsDigest());
                    onTotals(totals);
                });
        mSuspects.start();
        mAggregator.start();
        mTable.subscribeToSends(this::reportEarly);
        mTimers.every(REPORT_PERIOD, this::reportIfDue);
    }

    private long minIntervalMillis() {
        return Math.min(
                MAX_MIN_INTERVAL_MILLIS,
                (long) (MIN_INTERVAL_MILLIS_PER_ROUTER * mRouters.get().size()));
    }

    /** Reports soon after a new request: the next router to place the same part must know. */
    private void reportEarly() {
        if (mEarlyReportPending) {
            return;
        }
        long waitMillis = mReportedMillis + minIntervalMillis() - mTimers.nowMillis();
        mEarlyReportPending = true;
        if (waitMillis <= 0) {
            mTimers.execute(this::report);
        } else {
            mTimers.after(Duration.ofMillis(waitMillis), this::report);
        }
    }

    private void reportIfDue() {
        LoadReport newest = mSentReports.peekLast();
        boolean changed = newest == null || !newest.inFlight().equals(inFlight());
        boolean due =
                mTimers.nowMillis() - mReportedMillis
                        > MAX_REPORT_INTERVAL.minus(REPORT_PERIOD).toMillis();
        if (!mEarlyReportPending && (changed || due)) {
            report();
        }
    }

    private void report() {
        mEarlyReportPending = false;
        mReportedMillis = mTimers.nowMillis();
        LoadReport report =
                new LoadReport(
                        ++mSequence,
                        mSuspects.digest(),
                        inFlight(),
                        limits(),
                        mRollouts.figures(),
                        mUsage.reported(mWantsRoom));
        mSentReports.addLast(report);
        if (mSentReports.size() > MAX_KEPT_REPORTS) {
            mSentReports.removeFirst();
        }
        mAggregatorPeer
                .get()
                .ifPresentOrElse(
                        peer -> mTransport.send(peer, report),
                        () -> mAggregator.onReport(mSelf, report));
    }

    private Map<Integer, Integer> inFlight() {
        return mTable.servers().stream()
                .filter(server -> server.inFlight() > 0)
                .collect(
                        Collectors.toMap(
                                TrackedServer::hash, TrackedServer::inFlight, Integer::sum));
    }

    private Map<Integer, LimitObservation> limits() {
        long now = mTimers.nowMillis();
        Map<Integer, LimitObservation> limits = new HashMap<>();
        mTable.servers()
                .forEach(
                        server ->
                                server.limitObservation(now)
                                        .ifPresent(seen -> limits.put(server.hash(), seen)));
        return limits;
    }

    private void onTotals(LoadTotals totals) {
        Map<Integer, Integer> others = new HashMap<>(totals.inFlight());
        Map<Integer, LimitObservation> limits = new HashMap<>(totals.limits());
        Map<Long, Integer> accountPlaces = new HashMap<>(totals.accountPlaces());
        mSentReports.stream()
                .filter(report -> report.sequence() == totals.echoSequence())
                .findFirst()
                .ifPresent(
                        own -> {
                            own.inFlight()
                                    .forEach(
                                            (server, count) ->
                                                    others.merge(server, -count, Integer::sum));
                            own.limits()
                                    .forEach(
                                            (server, observed) ->
                                                    limits.computeIfPresent(
                                                            server,
                                                            (key, all) ->
                                                                    all.withoutSends(
                                                                            observed.sends())));
                            own.accountPlaces()
                                    .forEach((key, units) -> subtract(accountPlaces, key, units));
                        });
        mTable.updateInFlightFromOthers(others);
        mTable.updateLimitsFromOthers(limits);
        mUsage.updateFromOthers(accountPlaces);
        mRollouts.onTotals(totals.versions());
    }

    /** Subtracts own places; the totals lack accounts that were too small to be sent. */
    private static void subtract(Map<Long, Integer> accountPlaces, long key, int own) {
        accountPlaces.computeIfPresent(key, (ignored, all) -> all <= own ? null : all - own);
    }
}
