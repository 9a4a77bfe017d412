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
 * Where requests wait for a moment when every backend server of their service is full.
 *
 * <p>Turns go by priority, within a priority to the account that had its last turn longest ago, so
 * that an account with many waiting requests gets no more turns than one with few. Waiting is short
 * and the room small: a request that will not be served in time is refused early, with a time to
 * come back, instead of growing old behind others.
 */
public final class AdmissionQueue implements StateSource {
    /** Room may come about at other routers, of which this one hears nothing. */
    private static final Duration PROBE_PERIOD = Duration.ofMillis(100);

    private final TimerService mTimers;
    private final Map<String, ServiceQueue> mQueues = new TreeMap<>();
    private AdmissionSettings mLimits = AdmissionSettings.NO_WAITING;

    AdmissionQueue(TimerService timers) {
        mTimers = timers;
    }

    void configure(Settings settings) {
        mLimits = settings.admission();
    }

    /** Starts to give turns at a fixed period, besides those for each request that ends. */
    public void start() {
        mTimers.every(PROBE_PERIOD, () -> mQueues.values().forEach(ServiceQueue::giveTurn));
    }

    /** Returns a request's entry, which waits only once told to. */
    public Entry newEntry(String service, ClientAccount account, EntryListener listener) {
        return new Entry(queue(service), account, listener);
    }

    /** Notes that a request to the service ended, so that another may go. */
    public void onCapacityFreed(String service) {
        Optional.ofNullable(mQueues.get(service)).ifPresent(ServiceQueue::giveTurn);
    }

    private ServiceQueue queue(String service) {
        return mQueues.computeIfAbsent(service, name -> new ServiceQueue());
    }

    @Override
    public String name() {
        return "admission";
    }

    @Override
    public Object state() {
        Map<String, Integer> waiting = new TreeMap<>();
        mQueues.forEach((service, queue) -> waiting.put(service, queue.mWaiting.size()));
        return Map.of("waiting", waiting);
    }

    /** What a waiting request does next. */
    public interface EntryListener {
        /** Tries again to find a backend server with room. */
        void onTurn();

        /** Gives up: the wait took too long, or others go first. */
        void onRefused();
    }

    /** One request's entry in the queue of its service. */
    public final class Entry {
        private final ServiceQueue mQueue;
        private final ClientAccount mAccount;
        private final EntryListener mListener;
        private final long mNumber;
        private TimerService.Subscription mExpiry = () -> {};
        private boolean mOver;
        private boolean mTimed;

        Entry(ServiceQueue queue, ClientAccount account, EntryListener listener) {
            mQueue = queue;
            mAccount = account;
            mListener = listener;
            mNumber = queue.mNextNumber++;
        }

        /** Returns whether others wait for the same service, who are to go first. */
        public boolean othersWait() {
            return !mQueue.mWaiting.isEmpty();
        }

        /** Waits for a turn; a second wait keeps the limit of the first. */
        public void enqueue() {
            if (!mOver) {
                startLimit();
                mQueue.add(this);
            }
        }

        /** Notes that the request found room; the next one may try at once. */
        public void onCapacityFound() {
            boolean waited = mTimed;
            leave();
            if (waited) {
                mTimers.execute(mQueue::giveTurn);
            }
        }

        /** Leaves for good. */
        public void leave() {
            mOver = true;
            mExpiry.cancel();
            mQueue.mWaiting.remove(mNumber);
        }

        private void startLimit() {
            if (!mTimed) {
                mTimed = true;
                mExpiry = mTimers.after(Duration.ofMillis(mLimits.maxWaitMillis()), this::refuse);
            }
        }

        private void refuse() {
            if (!mOver) {
                leave();
                mListener.onRefused();
            }
        }

        private int rank() {
            return mAccount.priority().ordinal();
        }
    }

    /** The requests that wait for one service. */
    private final class ServiceQueue {
        private final Map<Long, Entry> mWaiting = new TreeMap<>();
        private final Map<String, Long> mLastTurns = new HashMap<>();
        private long mNextNumber;
        private long mTurns;

        void add(Entry entry) {
            mWaiting.put(entry.mNumber, entry);
            if (mWaiting.size() > mLimits.maxWaiting()) {
                mWaiting.values().stream().max(byClaim()).ifPresent(Entry::refuse);
            }
        }

        void giveTurn() {
            mWaiting.values().stream().min(byTurn()).ifPresent(this::giveTurn);
            if (mWaiting.isEmpty()) {
                mLastTurns.clear();
            }
        }

        private void giveTurn(Entry entry) {
            mWaiting.remove(entry.mNumber);
            mLastTurns.put(entry.mAccount.name(), ++mTurns);
            entry.mListener.onTurn();
        }

        private Comparator<Entry> byTurn() {
            return Comparator.comparingInt(Entry::rank)
                    .thenComparing(entry -> mLastTurns.getOrDefault(entry.mAccount.name(), 0L))
                    .thenComparing(entry -> entry.mNumber);
        }

        /** Orders those first who may stay: urgent ones, and accounts with few waiting. */
        private Comparator<Entry> byClaim() {
            Map<String, Long> counts = new HashMap<>();
            mWaiting.values().forEach(entry -> counts.merge(entry.mAccount.name(), 1L, Long::sum));
            return Comparator.comparingInt(Entry::rank)
                    .thenComparing(entry -> counts.getOrDefault(entry.mAccount.name(), 0L))
                    .thenComparing(entry -> entry.mNumber);
        }
    }
}
