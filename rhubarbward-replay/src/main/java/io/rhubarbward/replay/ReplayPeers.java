package io.rhubarbward.replay;

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

/** The network between a replay's routers. */
final class ReplayPeers {
    private static final Duration DELAY = Duration.ofMillis(2);

    private final TimerService mTimers;
    private final Measures mMeasures;
    private final Map<String, Endpoint> mEndpoints = new HashMap<>();
    private final Set<Link> mCut = new HashSet<>();

    ReplayPeers(TimerService timers, Measures measures) {
        mTimers = timers;
        mMeasures = measures;
    }

    void cut(String from, String to) {
        mCut.add(new Link(from, to));
    }

    void heal() {
        mCut.clear();
    }

    PeerTransport open(String vm) {
        Endpoint endpoint = new Endpoint(vm);
        mEndpoints.put(vm, endpoint);
        return endpoint;
    }

    void close(String vm) {
        mEndpoints.remove(vm);
    }

    /** One direction between two routers. */
    private record Link(String from, String to) {}

    private final class Endpoint implements PeerTransport {
        private final String mVm;
        private final Map<Class<?>, List<BiConsumer<String, PeerMessage>>> mHandlers =
                new HashMap<>();

        Endpoint(String vm) {
            mVm = vm;
        }

        @Override
        public void send(Peer to, PeerMessage message) {
            mMeasures.peerMessage();
            if (mEndpoints.get(mVm) == this && !mCut.contains(new Link(mVm, to.vm()))) {
                mTimers.after(DELAY, () -> deliver(to.vm(), message));
            }
        }

        private void deliver(String to, PeerMessage message) {
            Endpoint receiver = mEndpoints.get(to);
            if (receiver != null) {
                receiver.mHandlers
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
