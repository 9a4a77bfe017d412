package io.rhubarbward.reach;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.directory.RouterPresence;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.hash.RendezvousHash;
import io.rhubarbward.request.BackendCall;
import io.rhubarbward.request.BackendClient;
import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.request.BackendListener;
import io.rhubarbward.request.BackendRequest;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Try;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The other routers through which this one forwards requests while it reaches no backend server.
 *
 * <p>From the first suspicion on, this router asks a few others whether they would forward, of its
 * own data centre and of others, and each router in an order of its own, so that not all choose the
 * same. It goes on until enough are found, and asks those again so that it knows when one stops, is
 * cut off too, or answers no more. While this router reaches its servers, nothing is asked.
 */
public final class ForwardingPeers {
    /** Time between two rounds of queries. */
    private static final Duration QUERY_PERIOD = Duration.ofMillis(200);

    /** Time after which a query counts as not answered. */
    private static final Duration QUERY_TIMEOUT = Duration.ofMillis(500);

    /** Time since its last answer after which a router is no longer used. */
    private static final long WILLING_MILLIS = 1000;

    /** Routers that are kept ready to forward. */
    private static final int WANTED_PEERS = 4;

    /** Routers that are asked in one round, in addition to those that are in use. */
    private static final int CANDIDATES_PER_ROUND = 4;

    /** The service name under which a router is addressed like a backend server. */
    private static final String SERVICE = "router";

    private static final int OK = 200;

    private final String mSelf;
    private final String mDataCentre;
    private final Supplier<Map<String, RouterPresence>> mRouters;
    private final BackendClient mClient;
    private final Function<String, HeaderFields> mIdField;
    private final LongSupplier mCatalogVersion;
    private final TimerService mTimers;
    private final EventLog mEvents;
    private final Map<String, ForwardingPeer> mPeers = new HashMap<>();
    private final Set<String> mOpenQueries = new HashSet<>();
    private TimerService.Subscription mQueries = () -> {};
    private boolean mActive;
    private int mNextCandidate;
    private long mSeenCatalogVersion;
    private long mQueriesSent;
    private Set<String> mLoggedWilling = Set.of();

    /**
     * Creates a selection that is inactive.
     *
     * @param self this router's VM name
     * @param routers returns the listed routers by VM name
     * @param client sends requests to other routers
     * @param idField returns the header field that pairs a request with its answer
     * @param catalogVersion returns the version of the catalogue in force at this router
     */
    public ForwardingPeers(
            String self,
            String dataCentre,
            Supplier<Map<String, RouterPresence>> routers,
            BackendClient client,
            Function<String, HeaderFields> idField,
            LongSupplier catalogVersion,
            TimerService timers,
            EventLog events) {
        mSelf = self;
        mDataCentre = dataCentre;
        mRouters = routers;
        mClient = client;
        mIdField = idField;
        mCatalogVersion = catalogVersion;
        mTimers = timers;
        mEvents = events;
    }

    /** Returns this router's VM name. */
    public String self() {
        return mSelf;
    }

    /** Starts to look for routers when the links are in doubt, and stops when they work. */
    public void onReachState(ReachState state) {
        if (state.doubtful() == mActive) {
            return;
        }
        mActive = state.doubtful();
        mQueries.cancel();
        if (mActive) {
            mNextCandidate = 0;
            mQueries = mTimers.every(QUERY_PERIOD, this::query);
            query();
        } else {
            mPeers.values().forEach(ForwardingPeer::recordUnwilling);
            mLoggedWilling = Set.of();
        }
    }

    /** Returns the lowest version of the catalogue by which a forwarded request may be served. */
    public long minCatalogVersion() {
        return Math.max(mCatalogVersion.getAsLong(), mSeenCatalogVersion);
    }

    /**
     * Returns the router to forward a request through; empty if none is known that reaches servers.
     *
     * @param tried names of routers that could not serve the request
     */
    public Optional<ForwardingPeer> choose(Set<String> tried) {
        long now = mTimers.nowMillis();
        return willing(now)
                .filter(peer -> !tried.contains(peer.name()))
                .min(
                        Comparator.comparingDouble(ForwardingPeer::weightedLoad)
                                .thenComparing(
                                        peer -> RendezvousHash.hash(mSelf + '/' + peer.name())));
    }

    private Stream<ForwardingPeer> willing(long now) {
        return mPeers.values().stream()
                .filter(peer -> now - peer.willingMillis() <= WILLING_MILLIS);
    }

    /** Stops using the router until it answers a query again. */
    public void onUnable(ForwardingPeer peer) {
        peer.recordUnwilling();
    }

    private void query() {
        long now = mTimers.nowMillis();
        List<ForwardingPeer> inUse = willing(now).toList();
        logChange(inUse);
        Set<ForwardingPeer> asked = new HashSet<>(inUse);
        if (inUse.size() < WANTED_PEERS) {
            List<Map.Entry<String, RouterPresence>> candidates = candidates();
            for (int i = 0; i < Math.min(CANDIDATES_PER_ROUND, candidates.size()); i++) {
                asked.add(peer(candidates.get(mNextCandidate++ % candidates.size())));
            }
        }
        asked.forEach(this::ask);
    }

    private void logChange(List<ForwardingPeer> inUse) {
        Set<String> names = new TreeSet<>();
        inUse.forEach(peer -> names.add(peer.name()));
        if (!names.equals(mLoggedWilling)) {
            mEvents.log(
                    LogEvent.FORWARDING_PEERS_CHANGED,
                    EventField.of("peers", names),
                    EventField.of("before", mLoggedWilling));
            mLoggedWilling = names;
        }
    }

    /**
     * Returns the routers that may be asked, by turns one of this data centre and one of another: a
     * whole data centre may be cut off.
     */
    private List<Map.Entry<String, RouterPresence>> candidates() {
        List<Map.Entry<String, RouterPresence>> others =
                mRouters.get().entrySet().stream()
                        .filter(router -> !router.getKey().equals(mSelf))
                        .filter(router -> !router.getValue().forwardingAddress().isEmpty())
                        .toList();
        Map<Boolean, List<Map.Entry<String, RouterPresence>>> byLocal =
                RendezvousHash.order("forward/" + mSelf, others, Map.Entry::getKey).stream()
                        .collect(
                                Collectors.partitioningBy(
                                        router ->
                                                router.getValue()
                                                        .dataCentre()
                                                        .equals(mDataCentre)));
        List<Map.Entry<String, RouterPresence>> local = byLocal.getOrDefault(true, List.of());
        List<Map.Entry<String, RouterPresence>> remote = byLocal.getOrDefault(false, List.of());
        return IntStream.range(0, Math.max(local.size(), remote.size()))
                .boxed()
                .flatMap(
                        index ->
                                Stream.of(local, remote)
                                        .filter(routers -> index < routers.size())
                                        .map(routers -> routers.get(index)))
                .toList();
    }

    private ForwardingPeer peer(Map.Entry<String, RouterPresence> router) {
        String address = router.getValue().forwardingAddress();
        ForwardingPeer known = mPeers.get(router.getKey());
        if (known != null && known.endpoint().address().equals(address)) {
            return known;
        }
        String dataCentre = router.getValue().dataCentre();
        ForwardingPeer peer =
                new ForwardingPeer(
                        new BackendServer(
                                router.getKey(),
                                SERVICE,
                                dataCentre,
                                address,
                                "",
                                BackendServer.Fencing.IGNORES),
                        dataCentre.equals(mDataCentre));
        mPeers.put(router.getKey(), peer);
        return peer;
    }

    private void ask(ForwardingPeer peer) {
        if (!mOpenQueries.add(peer.name())) {
            return;
        }
        Query query = new Query(peer);
        BackendCall call =
                mClient.send(
                        new BackendRequest(
                                peer.endpoint(),
                                "GET",
                                "/",
                                HeaderFields.of("host", peer.endpoint().address())
                                        .with(PeerHeaders.QUERY_BY, mSelf)
                                        .and(mIdField.apply(nextQueryId())),
                                ByteBuffer.allocate(0)),
                        query);
        query.mExpiry = mTimers.afterReading(QUERY_TIMEOUT, () -> query.expire(call));
    }

    /** Returns an id of its own for each query, so that no late answer is taken for the next. */
    private String nextQueryId() {
        return "query/" + mSelf + '/' + mQueriesSent++;
    }

    /** A query that is open at a router. */
    private final class Query implements BackendListener {
        private final ForwardingPeer mPeer;
        private TimerService.Subscription mExpiry = () -> {};
        private boolean mEnded;

        Query(ForwardingPeer peer) {
            mPeer = peer;
        }

        @Override
        public void onHead(int status, HeaderFields headers) {
            if (mEnded) {
                return;
            }
            if (status == OK) {
                int open = (int) number(headers, PeerHeaders.OPEN_REQUESTS);
                mPeer.recordWilling(open, mTimers.nowMillis());
                mSeenCatalogVersion =
                        Math.max(mSeenCatalogVersion, number(headers, PeerHeaders.CATALOG_VERSION));
            } else {
                mPeer.recordUnwilling();
            }
        }

        private static long number(HeaderFields headers, String name) {
            return headers.first(name)
                    .flatMap(text -> Try.of(() -> Long.valueOf(text)).toJavaOptional())
                    .orElse(0L);
        }

        @Override
        public void onPart(ByteBuffer part) {}

        @Override
        public void onComplete() {
            end();
        }

        @Override
        public void onFailure(BackendFailure failure) {
            if (end()) {
                mPeer.recordUnwilling();
            }
        }

        private void expire(BackendCall call) {
            if (end()) {
                mPeer.recordUnwilling();
                call.expire();
            }
        }

        private boolean end() {
            if (mEnded) {
                return false;
            }
            mEnded = true;
            mExpiry.cancel();
            mOpenQueries.remove(mPeer.name());
            return true;
        }
    }
}
