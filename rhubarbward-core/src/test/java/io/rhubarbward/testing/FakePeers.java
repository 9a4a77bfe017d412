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

/** A network between routers in one process: delays messages and drops those on cut links. */
public final class FakePeers {
    private static final Duration DELAY = Duration.ofMillis(1);

    private final TimerService mTimers;
    private final Map<String, Endpoint> mEndpoints = new HashMap<>();
    private BiPredicate<String, String> mCut = (from, to) -> false;

    public FakePeers(TimerService timers) {
        mTimers = timers;
    }

    /** Drops messages for whose sender and receiver the predicate holds. */
    public void cut(BiPredicate<String, String> cut) {
        mCut = cut;
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
            if (!mCut.test(mVm, to.vm())) {
                mTimers.after(DELAY, () -> deliver(to, message));
            }
        }

        private void deliver(Peer to, PeerMessage message) {
            // A seed is known by its address only, which begins with the VM's name here.
            String vm = to.address().replaceFirst(":.*", "");
            Endpoint endpoint = mEndpoints.get(vm);
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
