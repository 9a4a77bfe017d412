package io.rhubarbward.admission;

import io.rhubarbward.config.AdmissionSettings;
import io.rhubarbward.config.ClientAccount;
import io.rhubarbward.config.Settings;
import io.rhubarbward.state.StateSource;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * A short queue for each service, in which requests wait while all of its backend servers are full.
 *
 * <p>Turns go to the lowest rank first, within a rank to the account whose last turn was longest
 * ago, so that an account with many waiting requests gets no more turns than one with few, and
 * within an account to the request with the smallest part of its time left. The queue and the
 * waiting time are short: a request that cannot be served in time is refused early, with a time to
 * retry, instead of delaying those behind it.
 */
public final class AdmissionQueue implements StateSource {
    /**
     * Period of turns that no completed request triggers: this router is not told of capacity that
     * other routers free.
     */
    private static final Duration PROBE_PERIOD = Duration.ofMillis(100);

    private final TimerService mTimers;
    private final int mMaxWaitingInTotal;
    private final Map<String, ServiceQueue> mQueuesByService = new TreeMap<>();
    private AdmissionSettings mLimits = AdmissionSettings.NO_WAITING;
    private int mWaitingInTotal;

    /** Creates a queue that is bounded for each service, as the settings say. */
    AdmissionQueue(TimerService timers) {
        this(timers, Integer.MAX_VALUE);
    }

    private AdmissionQueue(TimerService timers, int maxWaitingInTotal) {
        mTimers = timers;
        mMaxWaitingInTotal = maxWaitingInTotal;
    }

    /** Creates a queue that is bounded over all services; each request brings its longest wait. */
    static AdmissionQueue boundedInTotal(TimerService timers, int maxWaitingInTotal) {
        AdmissionQueue queue = new AdmissionQueue(timers, maxWaitingInTotal);
        queue.mLimits = new AdmissionSettings(0, maxWaitingInTotal, 1);
        return queue;
    }

    void configure(Settings settings) {
        mLimits = settings.admission();
    }

    /** Starts to give turns periodically, in addition to one for each completed request. */
    public void start() {
        mTimers.every(
                PROBE_PERIOD, () -> mQueuesByService.values().forEach(ServiceQueue::giveTurn));
    }

    /** Returns an entry for a request, which waits only after {@link Entry#enqueue}. */
    public Entry newEntry(String service, ClientAccount account, EntryListener listener) {
        return newEntry(service, new AccountRequest(account), listener);
    }

    /** Returns an entry for a request, which waits only after {@link Entry#enqueue}. */
    Entry newEntry(String service, QueuedRequest request, EntryListener listener) {
        return new Entry(queue(service), request, listener);
    }

    /** Gives a turn to the next request, since a request to the service has ended. */
    public void onCapacityFreed(String service) {
        Optional.ofNullable(mQueuesByService.get(service)).ifPresent(ServiceQueue::giveTurn);
    }

    /** Returns the requests that wait for the service, in no particular order. */
    Stream<QueuedRequest> waiting(String service) {
        return Optional.ofNullable(mQueuesByService.get(service)).stream()
                .flatMap(queue -> queue.mWaiting.values().stream())
                .map(entry -> entry.mRequest);
    }

    private ServiceQueue queue(String service) {
        return mQueuesByService.computeIfAbsent(service, name -> new ServiceQueue());
    }

    private void refuseLastOfLongestQueue() {
        mQueuesByService.values().stream()
                .max(Comparator.comparingInt(queue -> queue.mWaiting.size()))
                .flatMap(queue -> queue.mWaiting.values().stream().max(queue.nextTurnFirst()))
                .ifPresent(Entry::refuse);
    }

    @Override
    public String name() {
        return "admission";
    }

    @Override
    public Object state() {
        Map<String, Integer> waiting = new TreeMap<>();
        mQueuesByService.forEach((service, queue) -> waiting.put(service, queue.mWaiting.size()));
        return Map.of("waiting", waiting);
    }

    /** Continues or refuses a waiting request. */
    public interface EntryListener {
        /** Returns whether the request can use a turn now. */
        default Readiness readiness() {
            return Readiness.READY;
        }

        /** Looks for a backend server with free capacity again. */
        void onTurn();

        /** Refuses the request: it waited too long, or the queue is full and others go first. */
        void onRefused();
    }

    /** Whether a waiting request can use a turn. */
    public enum Readiness {
        /** The request gets the turn. */
        READY,
        /** The request keeps its place, and the turn goes to the next one. */
        PASSED_OVER,
        /** There is no room for the request, and none may overtake it. */
        NO_ROOM
    }

    /** One request's entry in the queue of its service. */
    public final class Entry {
        private final ServiceQueue mQueue;
        private final QueuedRequest mRequest;
        private final EntryListener mListener;
        private final long mSequenceNumber;
        private TimerService.Subscription mWaitTimeout = () -> {};
        private boolean mLeft;
        private boolean mHasWaited;

        Entry(ServiceQueue queue, QueuedRequest request, EntryListener listener) {
            mQueue = queue;
            mRequest = request;
            mListener = listener;
            mSequenceNumber = queue.mNextSequenceNumber++;
        }

        /** Returns whether requests for the same service are waiting, which go first. */
        public boolean othersWait() {
            return !mQueue.mWaiting.isEmpty();
        }

        /** Returns the waiting requests that have their turn before this one, in queue order. */
        List<QueuedRequest> requestsAhead() {
            if (mQueue.mWaiting.isEmpty()) {
                return List.of();
            }
            Comparator<Entry> order = mQueue.nextTurnFirst();
            return mQueue.mWaiting.values().stream()
                    .filter(other -> other != this && order.compare(other, this) < 0)
                    .sorted(order)
                    .map(other -> other.mRequest)
                    .toList();
        }

        /** Returns whether a waiting request that the predicate accepts goes before this one. */
        boolean isBehind(Predicate<QueuedRequest> counts) {
            return requestsAhead().stream().anyMatch(counts);
        }

        /** Returns whether the request waits for a turn. */
        boolean waiting() {
            return mQueue.mWaiting.containsKey(mSequenceNumber);
        }

        /** Waits for a turn; when called again, the time limit of the first call still applies. */
        public void enqueue() {
            enqueue(mLimits.maxWaitMillis());
        }

        /** Waits for a turn; when called again, the time limit of the first call still applies. */
        void enqueue(long maxWaitMillis) {
            if (!mLeft) {
                startWaitTimeout(maxWaitMillis);
                mQueue.add(this);
            }
        }

        /** Leaves the queue for a backend server; the next request gets a turn at once. */
        public void onCapacityFound() {
            boolean hasWaited = mHasWaited;
            leave();
            if (hasWaited) {
                mTimers.execute(mQueue::giveTurn);
            }
        }

        /** Leaves the queue for good. */
        public void leave() {
            mLeft = true;
            mWaitTimeout.cancel();
            mQueue.remove(this);
        }

        private void startWaitTimeout(long maxWaitMillis) {
            if (!mHasWaited) {
                mHasWaited = true;
                mWaitTimeout = mTimers.after(Duration.ofMillis(maxWaitMillis), this::refuse);
            }
        }

        private void refuse() {
            if (!mLeft) {
                leave();
                mListener.onRefused();
            }
        }
    }

    /** A request of the product's own path: its priority is its rank. */
    private record AccountRequest(ClientAccount client) implements QueuedRequest {
        @Override
        public int rank() {
            return client.priority().ordinal();
        }

        @Override
        public String account() {
            return client.name();
        }
    }

    /** The requests that wait for one service. */
    private final class ServiceQueue {
        private final Map<Long, Entry> mWaiting = new TreeMap<>();
        private final Map<String, Long> mLastTurnByAccount = new HashMap<>();
        private long mNextSequenceNumber;
        private long mTurns;

        void add(Entry entry) {
            if (mWaiting.put(entry.mSequenceNumber, entry) == null) {
                mWaitingInTotal++;
            }
            if (mWaiting.size() > mLimits.maxWaiting()) {
                mWaiting.values().stream().max(keptFirst()).ifPresent(Entry::refuse);
            } else if (mWaitingInTotal > mMaxWaitingInTotal) {
                refuseLastOfLongestQueue();
            }
        }

        void remove(Entry entry) {
            if (mWaiting.remove(entry.mSequenceNumber) != null) {
                mWaitingInTotal--;
            }
        }

        void giveTurn() {
            nextReady().ifPresent(this::giveTurn);
            if (mWaiting.isEmpty()) {
                mLastTurnByAccount.clear();
            }
        }

        /** Returns the first request in order that can use a turn, unless one before it blocks. */
        private Optional<Entry> nextReady() {
            for (Entry entry : mWaiting.values().stream().sorted(nextTurnFirst()).toList()) {
                Readiness readiness = entry.mListener.readiness();
                if (readiness != Readiness.PASSED_OVER) {
                    return readiness == Readiness.READY ? Optional.of(entry) : Optional.empty();
                }
            }
            return Optional.empty();
        }

        private void giveTurn(Entry entry) {
            remove(entry);
            mLastTurnByAccount.put(entry.mRequest.account(), ++mTurns);
            entry.mListener.onTurn();
        }

        private Comparator<Entry> nextTurnFirst() {
            long now = mTimers.nowMillis();
            return Comparator.comparingInt((Entry entry) -> entry.mRequest.rank())
                    .thenComparing(
                            entry -> mLastTurnByAccount.getOrDefault(entry.mRequest.account(), 0L))
                    .thenComparingDouble(entry -> entry.mRequest.timeLeft(now))
                    .thenComparing(entry -> entry.mSequenceNumber);
        }

        /**
         * Orders the entries so that the last one is evicted when the queue is full: high
         * priorities come first, then accounts with few waiting requests.
         */
        private Comparator<Entry> keptFirst() {
            Map<String, Long> waitingByAccount = new HashMap<>();
            mWaiting.values()
                    .forEach(
                            entry ->
                                    waitingByAccount.merge(
                                            entry.mRequest.account(), 1L, Long::sum));
            return Comparator.comparingInt((Entry entry) -> entry.mRequest.rank())
                    .thenComparing(
                            entry -> waitingByAccount.getOrDefault(entry.mRequest.account(), 0L))
                    .thenComparing(entry -> entry.mSequenceNumber);
        }
    }
}
