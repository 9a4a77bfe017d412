package io.rhubarbward.bench;

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

/** Carries messages between the routers of one process, after a delay. */
final class TrialPeers {
    private static final Duration DELAY = Duration.ofMillis(2);

    private final TimerService mTimers;
    private final Map<String, Endpoint> mEndpoints = new HashMap<>();

    TrialPeers(TimerService timers) {
        mTimers = timers;
    }

    PeerTransport endpoint(String vm) {
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
            mTimers.after(
                    DELAY,
                    () -> {
                        Endpoint endpoint = mEndpoints.get(to.vm());
                        if (endpoint != null) {
                            endpoint.handle(mVm, message);
                        }
                    });
        }

        private void handle(String from, PeerMessage message) {
            mHandlers
                    .getOrDefault(message.getClass(), List.of())
                    .forEach(handler -> handler.accept(from, message));
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
