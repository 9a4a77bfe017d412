package io.rhubarbward.admission;

import io.rhubarbward.config.AdmissionSettings;
import io.rhubarbward.config.ClientAccount;
import io.rhubarbward.config.Settings;
import io.rhubarbward.state.StateSource;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A short queue for each service, in which requests wait while all of its backend servers are full.
 *
 * <p>Turns go to the highest priority first, and within a priority to the account whose last turn
 * was longest ago, so that an account with many waiting requests gets no more turns than one with
 * few. The queue and the waiting time are short: a request that cannot be served in time is refused
 * early, with a time to retry, instead of delaying those behind it.
 */
public final class AdmissionQueue implements StateSource {
    /**
     * Period of turns that no completed request triggers: this router is not told of capacity that
     * other routers free.
     */
    private static final Duration PROBE_PERIOD = Duration.ofMillis(100);

    private final TimerService mTimers;
    private final Map<String, ServiceQueue> mQueuesByService = new TreeMap<>();
    private AdmissionSettings mLimits = AdmissionSettings.NO_WAITING;

    AdmissionQueue(TimerService timers) {
        mTimers = timers;
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
        return new Entry(queue(service), account, listener);
    }

    /** Gives a turn to the next request, since a request to the service has ended. */
    public void onCapacityFreed(String service) {
        Optional.ofNullable(mQueuesByService.get(service)).ifPresent(ServiceQueue::giveTurn);
    }

    private ServiceQueue queue(String service) {
        return mQueuesByService.computeIfAbsent(service, name -> new ServiceQueue());
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
        /** Looks for a backend server with free capacity again. */
        void onTurn();

        /** Refuses the request: it waited too long, or the queue is full and others go first. */
        void onRefused();
    }

    /** One request's entry in the queue of its service. */
    public final class Entry {
        private final ServiceQueue mQueue;
        private final ClientAccount mAccount;
        private final EntryListener mListener;
        private final long mSequenceNumber;
        private TimerService.Subscription mWaitTimeout = () -> {};
        private boolean mLeft;
        private boolean mHasWaited;

        Entry(ServiceQueue queue, ClientAccount account, EntryListener listener) {
            mQueue = queue;
            mAccount = account;
            mListener = listener;
            mSequenceNumber = queue.mNextSequenceNumber++;
        }

        /** Returns whether requests for the same service are waiting, which go first. */
        public boolean othersWait() {
            return !mQueue.mWaiting.isEmpty();
        }

        /** Waits for a turn; when called again, the time limit of the first call still applies. */
        public void enqueue() {
            if (!mLeft) {
                startWaitTimeout();
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
            mQueue.mWaiting.remove(mSequenceNumber);
        }

        private void startWaitTimeout() {
            if (!mHasWaited) {
                mHasWaited = true;
                mWaitTimeout =
                        mTimers.after(Duration.ofMillis(mLimits.maxWaitMillis()), this::refuse);
            }
        }

        private void refuse() {
            if (!mLeft) {
                leave();
                mListener.onRefused();
            }
        }

        private int priorityRank() {
            return mAccount.priority().ordinal();
        }
    }

    /** The requests that wait for one service. */
    private final class ServiceQueue {
        private final Map<Long, Entry> mWaiting = new TreeMap<>();
        private final Map<String, Long> mLastTurnByAccount = new HashMap<>();
        private long mNextSequenceNumber;
        private long mTurns;

        void add(Entry entry) {
            mWaiting.put(entry.mSequenceNumber, entry);
            if (mWaiting.size() > mLimits.maxWaiting()) {
                mWaiting.values().stream().max(keptFirst()).ifPresent(Entry::refuse);
            }
        }

        void giveTurn() {
            mWaiting.values().stream().min(nextTurnFirst()).ifPresent(this::giveTurn);
            if (mWaiting.isEmpty()) {
                mLastTurnByAccount.clear();
            }
        }

        private void giveTurn(Entry entry) {
            mWaiting.remove(entry.mSequenceNumber);
            mLastTurnByAccount.put(entry.mAccount.name(), ++mTurns);
            entry.mListener.onTurn();
        }

        private Comparator<Entry> nextTurnFirst() {
            return Comparator.comparingInt(Entry::priorityRank)
                    .thenComparing(
                            entry -> mLastTurnByAccount.getOrDefault(entry.mAccount.name(), 0L))
                    .thenComparing(entry -> entry.mSequenceNumber);
        }

        /**
         * Orders the entries so that the last one is evicted when the queue is full: high
         * priorities come first, then accounts with few waiting requests.
         */
        private Comparator<Entry> keptFirst() {
            Map<String, Long> waitingByAccount = new HashMap<>();
            mWaiting.values()
                    .forEach(entry -> waitingByAccount.merge(entry.mAccount.name(), 1L, Long::sum));
            return Comparator.comparingInt(Entry::priorityRank)
                    .thenComparing(
                            entry -> waitingByAccount.getOrDefault(entry.mAccount.name(), 0L))
                    .thenComparing(entry -> entry.mSequenceNumber);
        }
    }
}
