package io.rhubarbward.relay;

import io.rhubarbward.admission.AccountUsage;
import io.rhubarbward.directory.RouterPresence;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.move.PairedFigures;
import io.rhubarbward.placement.LimitObservation;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Adds up what the routers of this data centre have in flight, exchanges the sums with the
 * aggregators of the other data centres and tells its own routers the totals.
 *
 * <p>Any router does this as long as others report to it, so that no agreement on the aggregator is
 * needed.
 */
final class LoadAggregator {
    /** Age from which a report or a sum is no longer counted. */
    private static final long EXPIRY_MILLIS = 1500;

    /** Longest time between two messages to each receiver. */
    private static final Duration MAX_PUBLISH_INTERVAL = Duration.ofMillis(500);

    /**
     * How long another data centre's preferred aggregator may be silent before the next is tried.
     */
    private static final long NEXT_CANDIDATE_MILLIS = 1000;

    /** Time without a message from which the connection to an aggregator is replaced. */
    private static final long RECONNECT_AFTER_MILLIS = 1500;

    private static final long MIN_RECONNECT_INTERVAL_MILLIS = 2000;

    /** Entries of a sum by account, which bound a message; accounts below them use little. */
    private static final int MAX_ACCOUNTS = 256;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final String mSelf;
    private final String mDataCentre;
    private final Supplier<Map<String, RouterPresence>> mRouters;
    private final Supplier<Optional<Peer>> mAggregatorPeer;
    private final PeerTransport mTransport;
    private final SuspectExchange mSuspects;
    private final TimerService mTimers;
    private final LongSupplier mMinIntervalMillis;
    private final Consumer<LoadTotals> mOwnTotals;
    private final Map<String, Received<LoadReport>> mReports = new HashMap<>();
    private final Map<String, Received<DataCentreLoad>> mSumsByAggregator = new HashMap<>();
    private final Map<String, RemoteDataCentre> mRemoteDataCentres = new HashMap<>();
    private final Map<Integer, Integer> mOwnSum = new HashMap<>();
    private final Map<Long, Integer> mOwnAccountPlaces = new HashMap<>();
    private Map<Integer, Integer> mPublishedOwnSum = Map.of();
    private Map<Long, Integer> mPublishedAccountPlaces = Map.of();
    private long mExchangedMillis = NEVER;
    private long mPublishedMillis = NEVER;
    private boolean mPublishPending;

    LoadAggregator(
            String self,
            String dataCentre,
            Supplier<Map<String, RouterPresence>> routers,
            Supplier<Optional<Peer>> aggregator,
            PeerTransport transport,
            SuspectExchange suspects,
            TimerService timers,
            LongSupplier minIntervalMillis,
            Consumer<LoadTotals> ownTotals) {
        mSelf = self;
        mDataCentre = dataCentre;
        mRouters = routers;
        mAggregatorPeer = aggregator;
        mTransport = transport;
        mSuspects = suspects;
        mTimers = timers;
        mMinIntervalMillis = minIntervalMillis;
        mOwnTotals = ownTotals;
    }

    private record Received<M>(M message, long atMillis) {
        boolean expired(long nowMillis) {
            return nowMillis - atMillis > EXPIRY_MILLIS;
        }
    }

    /** State of the exchange with another data centre. */
    private static final class RemoteDataCentre {
        /** The aggregator that was heard last; empty while a candidate is tried. */
        private String mAggregator = "";

        private long mHeardMillis;
        private long mTriedMillis;
        private int mCandidate;
        private long mReconnectedMillis = NEVER;

        RemoteDataCentre(long nowMillis) {
            mHeardMillis = nowMillis;
            mTriedMillis = nowMillis;
        }
    }

    void start() {
        mTransport.subscribe(LoadReport.class, this::onReport);
        mTransport.subscribe(DataCentreLoad.class, this::onDataCentreLoad);
        mTimers.every(MAX_PUBLISH_INTERVAL, this::publishIfDue);
    }

    private boolean active() {
        return !mReports.isEmpty();
    }

    void onReport(String sender, LoadReport report) {
        if (!mRouters.get().containsKey(sender)) {
            return;
        }
        mSuspects.compareDigest(sender, report.suspectsDigest());
        Received<LoadReport> before =
                mReports.put(sender, new Received<>(report, mTimers.nowMillis()));
        boolean inFlightChanged =
                replace(
                        mOwnSum,
                        before == null ? Map.of() : before.message().inFlight(),
                        report.inFlight());
        boolean accountPlacesChanged =
                replace(
                        mOwnAccountPlaces,
                        before == null ? Map.of() : before.message().accountPlaces(),
                        report.accountPlaces());
        if (before == null || inFlightChanged || accountPlacesChanged) {
            publishSoon();
        }
    }

    /** Replaces the counts of one report in the sum; returns whether they differ. */
    private static <K> boolean replace(
            Map<K, Integer> sum, Map<K, Integer> before, Map<K, Integer> after) {
        boolean changed = !before.equals(after);
        if (changed) {
            add(sum, before, -1);
            add(sum, after, 1);
        }
        return changed;
    }

    private static <K> void add(Map<K, Integer> sum, Map<K, Integer> counts, int sign) {
        counts.forEach(
                (key, count) ->
                        sum.compute(
                                key,
                                (ignored, old) -> {
                                    int changed = Objects.requireNonNullElse(old, 0) + sign * count;
                                    return changed == 0 ? null : changed;
                                }));
    }

    private void onDataCentreLoad(String sender, DataCentreLoad load) {
        RouterPresence presence = mRouters.get().get(load.aggregator());
        if (presence == null) {
            return;
        }
        if (!active()) {
            if (!load.forwarded()) {
                mAggregatorPeer.get().ifPresent(peer -> mTransport.send(peer, load.asForwarded()));
            }
            return;
        }
        mSuspects.compareDigest(load.aggregator(), load.suspectsDigest());
        long now = mTimers.nowMillis();
        RemoteDataCentre remote = remote(presence.dataCentre());
        remote.mAggregator = load.aggregator();
        remote.mHeardMillis = now;
        if (load.unheardMillis() > RECONNECT_AFTER_MILLIS
                && now - remote.mReconnectedMillis > MIN_RECONNECT_INTERVAL_MILLIS) {
            remote.mReconnectedMillis = now;
            mTransport.reconnect(peer(load.aggregator(), presence));
        }
        Received<DataCentreLoad> before =
                mSumsByAggregator.put(load.aggregator(), new Received<>(load, now));
        if (before == null
                || !before.message().inFlight().equals(load.inFlight())
                || !before.message().accountPlaces().equals(load.accountPlaces())) {
            publishSoon();
        }
    }

    private void publishSoon() {
        if (mPublishPending) {
            return;
        }
        mPublishPending = true;
        long waitMillis = mPublishedMillis + mMinIntervalMillis.getAsLong() - mTimers.nowMillis();
        if (waitMillis <= 0) {
            mTimers.execute(this::publish);
        } else {
            mTimers.after(Duration.ofMillis(waitMillis), this::publish);
        }
    }

    private void publishIfDue() {
        boolean due = mTimers.nowMillis() - mPublishedMillis >= MAX_PUBLISH_INTERVAL.toMillis();
        if (active() && !mPublishPending && due) {
            publish();
        }
    }

    private void publish() {
        mPublishPending = false;
        long now = mTimers.nowMillis();
        mPublishedMillis = now;
        expire(now);
        if (!active()) {
            return;
        }
        exchange(now);
        Map<Integer, Integer> totals = new HashMap<>(mOwnSum);
        Map<Long, Integer> accountPlaces = new HashMap<>(mOwnAccountPlaces);
        mSumsByAggregator
                .values()
                .forEach(
                        sum -> {
                            add(totals, sum.message().inFlight(), 1);
                            add(accountPlaces, sum.message().accountPlaces(), 1);
                        });
        Map<Integer, LimitObservation> limits = ownLimits(now);
        mSumsByAggregator
                .values()
                .forEach(sum -> addLimits(limits, sum.message().limits(), now - sum.atMillis()));
        Map<String, PairedFigures> versions = ownVersions();
        mSumsByAggregator.values().forEach(sum -> addVersions(versions, sum.message().versions()));
        // Copied here once rather than in each message.
        Map<Integer, Integer> sharedTotals = Map.copyOf(totals);
        Map<Integer, LimitObservation> sharedLimits = Map.copyOf(limits);
        Map<String, PairedFigures> sharedVersions = Map.copyOf(versions);
        Map<Long, Integer> sharedAccountPlaces =
                Map.copyOf(AccountUsage.largest(accountPlaces, MAX_ACCOUNTS));
        mReports.forEach(
                (vm, report) ->
                        tell(
                                vm,
                                new LoadTotals(
                                        report.message().sequence(),
                                        mSuspects.digest(),
                                        sharedTotals,
                                        sharedLimits,
                                        sharedVersions,
                                        sharedAccountPlaces)));
    }

    private void expire(long now) {
        List<String> silent =
                mReports.entrySet().stream()
                        .filter(entry -> entry.getValue().expired(now))
                        .map(Map.Entry::getKey)
                        .toList();
        silent.forEach(
                vm -> {
                    Received<LoadReport> report = mReports.remove(vm);
                    if (report != null) {
                        add(mOwnSum, report.message().inFlight(), -1);
                        add(mOwnAccountPlaces, report.message().accountPlaces(), -1);
                    }
                });
        mSumsByAggregator.values().removeIf(sum -> sum.expired(now));
    }

    /** Returns what the routers that report to this one know of servers with a limit. */
    private Map<Integer, LimitObservation> ownLimits(long now) {
        Map<Integer, LimitObservation> limits = new HashMap<>();
        mReports.values()
                .forEach(
                        report ->
                                addLimits(
                                        limits,
                                        report.message().limits(),
                                        now - report.atMillis()));
        return limits;
    }

    private static void addLimits(
            Map<Integer, LimitObservation> sum,
            Map<Integer, LimitObservation> added,
            long ageMillis) {
        added.forEach(
                (server, observed) ->
                        sum.merge(
                                server,
                                observed.olderBy(ageMillis),
                                LimitObservation::combinedWith));
    }

    /** Returns the figures of rollouts of the routers that report to this one. */
    private Map<String, PairedFigures> ownVersions() {
        Map<String, PairedFigures> versions = new HashMap<>();
        mReports.values().forEach(report -> addVersions(versions, report.message().versions()));
        return versions;
    }

    private static void addVersions(
            Map<String, PairedFigures> sum, Map<String, PairedFigures> added) {
        added.forEach((key, figures) -> sum.merge(key, figures, PairedFigures::plus));
    }

    private void tell(String vm, LoadTotals message) {
        if (vm.equals(mSelf)) {
            mOwnTotals.accept(message);
            return;
        }
        RouterPresence presence = mRouters.get().get(vm);
        if (presence != null && !presence.address().isEmpty()) {
            mTransport.send(peer(vm, presence), message);
        }
    }

    /** Sends this data centre's sum to the others, if it has changed or was not sent for long. */
    private void exchange(long now) {
        Map<Long, Integer> accountPlaces = AccountUsage.largest(mOwnAccountPlaces, MAX_ACCOUNTS);
        boolean changed =
                !mOwnSum.equals(mPublishedOwnSum) || !accountPlaces.equals(mPublishedAccountPlaces);
        if (!changed && now - mExchangedMillis < MAX_PUBLISH_INTERVAL.toMillis()) {
            return;
        }
        mExchangedMillis = now;
        mPublishedOwnSum = Map.copyOf(mOwnSum);
        mPublishedAccountPlaces = Map.copyOf(accountPlaces);
        Map<Integer, LimitObservation> limits = ownLimits(now);
        Map<String, PairedFigures> versions = ownVersions();
        otherDataCentres()
                .forEach(
                        dataCentre -> {
                            RemoteDataCentre remote = remote(dataCentre);
                            aggregatorOf(dataCentre, remote, now)
                                    .ifPresent(
                                            peer ->
                                                    mTransport.send(
                                                            peer,
                                                            new DataCentreLoad(
                                                                    mSelf,
                                                                    now - remote.mHeardMillis,
                                                                    false,
                                                                    mSuspects.digest(),
                                                                    mPublishedOwnSum,
                                                                    limits,
                                                                    versions,
                                                                    mPublishedAccountPlaces)));
                        });
    }

    private Set<String> otherDataCentres() {
        return mRouters.get().values().stream()
                .map(RouterPresence::dataCentre)
                .filter(dataCentre -> !dataCentre.isEmpty() && !dataCentre.equals(mDataCentre))
                .collect(Collectors.toSet());
    }

    /** Returns the aggregator that was heard from last, or the next candidate if none is heard. */
    private Optional<Peer> aggregatorOf(String dataCentre, RemoteDataCentre remote, long now) {
        RouterPresence presence = mRouters.get().get(remote.mAggregator);
        if (presence != null && now - remote.mHeardMillis <= EXPIRY_MILLIS) {
            return Optional.of(peer(remote.mAggregator, presence));
        }
        List<Peer> candidates = RelaySelection.inOrderOfPreference(mRouters.get(), dataCentre);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        if (now - remote.mTriedMillis > NEXT_CANDIDATE_MILLIS) {
            remote.mTriedMillis = now;
            remote.mCandidate++;
        }
        return Optional.of(candidates.get(remote.mCandidate % candidates.size()));
    }

    private RemoteDataCentre remote(String dataCentre) {
        return mRemoteDataCentres.computeIfAbsent(
                dataCentre, name -> new RemoteDataCentre(mTimers.nowMillis()));
    }

    private static Peer peer(String vm, RouterPresence presence) {
        return new Peer(vm, presence.dataCentre(), presence.address());
    }
}
