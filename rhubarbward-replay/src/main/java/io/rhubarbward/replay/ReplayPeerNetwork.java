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

/** The simulated network between a replay's routers: fixed delay, links that can be cut. */
final class ReplayPeerNetwork {
    private static final Duration MESSAGE_DELAY = Duration.ofMillis(2);

    private final TimerService mTimers;
    private final Measures mMeasures;
    private final Map<String, Endpoint> mEndpoints = new HashMap<>();
    private final Set<Link> mCutLinks = new HashSet<>();

    ReplayPeerNetwork(TimerService timers, Measures measures) {
        mTimers = timers;
        mMeasures = measures;
    }

    /** Drops messages from one router to another; the other direction still works. */
    void cutLink(String from, String to) {
        mCutLinks.add(new Link(from, to));
    }

    void healAllLinks() {
        mCutLinks.clear();
    }

    PeerTransport openEndpoint(String vm) {
        Endpoint endpoint = new Endpoint(vm);
        mEndpoints.put(vm, endpoint);
        return endpoint;
    }

    void closeEndpoint(String vm) {
        mEndpoints.remove(vm);
    }

    /** The direction from one router's VM to another's. */
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
            mMeasures.countPeerMessage();
            if (mEndpoints.get(mVm) == this && !mCutLinks.contains(new Link(mVm, to.vm()))) {
                mTimers.after(MESSAGE_DELAY, () -> deliver(to.vm(), message));
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
