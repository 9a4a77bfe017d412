package io.rhubarbward.bench;

import io.rhubarbward.membership.Peer;
import io.rhubarbward.membership.PeerMessage;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.net.peer.PeerFrameCodec;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** Carries real frames between routers in one process and counts them by kind of message. */
final class CountedPeers {
    private static final Duration DELAY = Duration.ofMillis(1);

    private final TimerService mTimers;
    private final PeerFrameCodec mFrames = new PeerFrameCodec();
    private final Map<String, Endpoint> mEndpoints = new HashMap<>();
    private final Count mNone = new Count(0, 0);
    private final Map<String, Count> mCounts = new TreeMap<>();

    CountedPeers(TimerService timers) {
        mTimers = timers;
    }

    Endpoint endpoint(String vm) {
        return mEndpoints.computeIfAbsent(vm, Endpoint::new);
    }

    /** Returns messages and bytes by kind since the last reset. */
    Map<String, Count> counts() {
        return mCounts;
    }

    Count count(String kind) {
        return mCounts.getOrDefault(kind, mNone);
    }

    void reset() {
        mCounts.clear();
    }

    /** Messages and their bytes on the wire. */
    record Count(long messages, long bytes) {
        Count plus(Count other) {
            return new Count(messages + other.messages, bytes + other.bytes);
        }
    }

    final class Endpoint implements PeerTransport {
        private final String mVm;
        private final Map<Class<?>, List<BiConsumer<String, PeerMessage>>> mHandlers =
                new HashMap<>();
        private final Set<String> mConnected = new HashSet<>();

        Endpoint(String vm) {
            mVm = vm;
        }

        @Override
        public void send(Peer to, PeerMessage message) {
            boolean first = mConnected.add(to.vm());
            byte[] frame = mFrames.encode(Optional.of(mVm).filter(vm -> first), message);
            Count count = new Count(1, frame.length + PeerFrameCodec.LENGTH_BYTES);
            mCounts.merge(message.getClass().getSimpleName(), count, Count::plus);
            mTimers.after(DELAY, () -> deliver(to.vm(), frame));
        }

        private void deliver(String to, byte[] frame) {
            mFrames.decode(frame).get().forEach(received -> deliver(to, received));
        }

        private void deliver(String to, PeerFrameCodec.Received received) {
            endpoint(to)
                    .mHandlers
                    .getOrDefault(received.message().getClass(), List.of())
                    .forEach(handler -> handler.accept(mVm, received.message()));
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
