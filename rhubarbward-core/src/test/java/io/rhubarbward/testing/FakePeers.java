package io.rhubarbward.testing;

import io.rhubarbward.membership.Peer;
import io.rhubarbward.membership.PeerMessage;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * A network between routers in one process: delays messages, drops those on cut links, and loses,
 * doubles and reorders them when told to.
 */
public final class FakePeers {
    private static final long DELAY_MILLIS = 1;

    private final TimerService mTimers;
    private final Map<String, Endpoint> mEndpoints = new HashMap<>();
    private final Map<String, List<Runnable>> mPaused = new HashMap<>();
    private BiPredicate<String, String> mCut = (from, to) -> false;
    private Function<PeerMessage, List<Long>> mDelays = message -> List.of(DELAY_MILLIS);
    private Consumer<PeerMessage> mOnSend = message -> {};

    public FakePeers(TimerService timers) {
        mTimers = timers;
    }

    /** Drops messages for whose sender and receiver the predicate holds. */
    public void cut(BiPredicate<String, String> cut) {
        mCut = cut;
    }

    /** Loses, doubles and reorders messages of the types, each with the probability. */
    public void injectFaults(
            RandomGenerator random, double probability, int maxDelayMillis, Class<?>... types) {
        mDelays =
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

    /** Ends what {@link #injectFaults} began. */
    public void clearFaults() {
        mDelays = message -> List.of(DELAY_MILLIS);
    }

    /** Shows every message that is sent, cut or not. */
    public void onSend(Consumer<PeerMessage> observer) {
        mOnSend = observer;
    }

    /** Keeps messages to the VM back until {@link #resume}. */
    public void pause(String vm) {
        mPaused.put(vm, new ArrayList<>());
    }

    /** Delivers what was kept back, in order. */
    public void resume(String vm) {
        List<Runnable> kept = mPaused.remove(vm);
        if (kept != null) {
            kept.forEach(Runnable::run);
        }
    }

    /** Forgets the process on the VM, so that another can take its place. */
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
            if (mEndpoints.get(mVm) == this && !mCut.test(mVm, to.vm())) {
                mDelays.apply(message)
                        .forEach(
                                delay ->
                                        mTimers.after(
                                                Duration.ofMillis(delay),
                                                () -> arrive(vm(to), message)));
            }
        }

        private void arrive(String to, PeerMessage message) {
            List<Runnable> kept = mPaused.get(to);
            if (kept == null) {
                deliver(to, message);
            } else {
                kept.add(() -> deliver(to, message));
            }
        }

        /** A seed is known by its address only, which begins with the VM's name here. */
        private String vm(Peer to) {
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
