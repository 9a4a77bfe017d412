package io.rhubarbward.testing;

import io.rhubarbward.membership.Peer;
import io.rhubarbward.membership.PeerMessage;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * A simulated network between routers in one process: delays messages, drops those on cut links,
 * and can lose, duplicate and reorder messages.
 */
public final class FakePeers {
    private static final long DELAY_MILLIS = 1;

    private final TimerService mTimers;
    private final Map<String, Endpoint> mEndpoints = new HashMap<>();
    private final Map<String, List<Runnable>> mHeldBackByPausedVm = new HashMap<>();
    private final Set<String> mDeadConnections = new HashSet<>();
    private BiPredicate<String, String> mLinkCut = (from, to) -> false;
    private Function<PeerMessage, List<Long>> mDeliveryDelays = message -> List.of(DELAY_MILLIS);
    private Consumer<PeerMessage> mOnSend = message -> {};

    public FakePeers(TimerService timers) {
        mTimers = timers;
    }

    /** Drops messages from now on if the predicate holds for the sender's and receiver's VMs. */
    public void cut(BiPredicate<String, String> cut) {
        mLinkCut = cut;
    }

    /**
     * Loses and duplicates messages of the types, each with the probability, and reorders them by a
     * random delay.
     */
    public void injectFaults(
            RandomGenerator random, double probability, int maxDelayMillis, Class<?>... types) {
        mDeliveryDelays =
                message ->
                        List.of(types).contains(message.getClass())
                                ? delays(random, probability, maxDelayMillis)
                                : List.of(DELAY_MILLIS);
    }

    private static List<Long> delays(RandomGenerator random, double probability, int maxMillis) {
        List<Long> delays = new ArrayList<>();
        if (random.nextDouble() >= probability) {
            delays.add(DELAY_MILLIS + random.nextInt(maxMillis));
        }
        if (random.nextDouble() < probability) {
            delays.add(DELAY_MILLIS + random.nextInt(maxMillis));
        }
        return delays;
    }

    /**
     * Lets the connection from one VM to the other die without a reset: what is sent on it is lost
     * until the sender replaces it.
     */
    public void killConnection(String from, String to) {
        mDeadConnections.add(from + '>' + to);
    }

    /** Ends the faults of {@link #injectFaults}. */
    public void clearFaults() {
        mDeliveryDelays = message -> List.of(DELAY_MILLIS);
    }

    /** Calls the observer with every message that is sent, also on cut links. */
    public void onSend(Consumer<PeerMessage> observer) {
        mOnSend = observer;
    }

    /** Holds back messages to the VM until {@link #resume}. */
    public void pause(String vm) {
        mHeldBackByPausedVm.put(vm, new ArrayList<>());
    }

    /** Delivers the messages that were held back, in order. */
    public void resume(String vm) {
        List<Runnable> heldBack = mHeldBackByPausedVm.remove(vm);
        if (heldBack != null) {
            heldBack.forEach(Runnable::run);
        }
    }

    /** Removes the endpoint of the process on the VM, so that a new process can replace it. */
    public void remove(String vm) {
        mEndpoints.remove(vm);
    }

    /** Returns the transport of the router on the VM. */
    public PeerTransport endpoint(String vm) {
        return mEndpoints.computeIfAbsent(vm, Endpoint::new);
    }

    private final class Endpoint implements PeerTransport {
        private final String mVm;
        private final Map<Class<?>, List<BiConsumer<String, PeerMessage>>> mHandlers =
                new HashMap<>();

        Endpoint(String vm) {
            mVm = vm;
        }

        @Override
        public void send(Peer to, PeerMessage message) {
            mOnSend.accept(message);
            if (mEndpoints.get(mVm) == this
                    && !mLinkCut.test(mVm, to.vm())
                    && !mDeadConnections.contains(mVm + '>' + to.vm())) {
                mDeliveryDelays
                        .apply(message)
                        .forEach(
                                delay ->
                                        mTimers.after(
                                                Duration.ofMillis(delay),
                                                () -> deliverOrHoldBack(vmOf(to), message)));
            }
        }

        @Override
        public void reconnect(Peer to) {
            mDeadConnections.remove(mVm + '>' + to.vm());
        }

        private void deliverOrHoldBack(String to, PeerMessage message) {
            List<Runnable> heldBack = mHeldBackByPausedVm.get(to);
            if (heldBack == null) {
                deliver(to, message);
            } else {
                heldBack.add(() -> deliver(to, message));
            }
        }

        /**
         * Returns the VM name that the address starts with here; of a seed, no other name is known.
         */
        private String vmOf(Peer to) {
            return to.address().replaceFirst(":.*", "");
        }

        private void deliver(String to, PeerMessage message) {
            Endpoint endpoint = mEndpoints.get(to);
            if (endpoint != null) {
                endpoint.mHandlers
                        .getOrDefault(message.getClass(), List.of())
                        .forEach(handler -> handler.accept(mVm, message));
            }
        }

        @Override
        public <M extends PeerMessage> void subscribe(
                Class<M> type, BiConsumer<String, M> handler) {
            mHandlers
                    .computeIfAbsent(type, key -> new ArrayList<>())
                    .add((from, message) -> handler.accept(from, type.cast(message)));
        }
    }
}
