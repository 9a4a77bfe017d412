package io.rhubarbward.bench;

import io.rhubarbward.config.ConfigMessage.ChunkAnswer;
import io.rhubarbward.config.ConfigMessage.ChunkRequest;
import io.rhubarbward.config.ConfigMessage.HeadAnswer;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.membership.PeerMessage;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.timer.TimerService;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

/** Carries messages between routers in one process, delays them and loses some. */
final class LossyPeers {
    private static final Duration DELAY = Duration.ofMillis(2);
    private static final int HASH_BYTES = 33;
    private static final int SMALL_MESSAGE_BYTES = 40;

    private final TimerService mTimers;
    private final RandomGenerator mRandom;
    private final double mLossShare;
    private final Map<String, Endpoint> mEndpoints = new HashMap<>();
    private final Set<String> mDead = new HashSet<>();
    private long mConfigBytes;

    LossyPeers(TimerService timers, RandomGenerator random, double lossShare) {
        mTimers = timers;
        mRandom = random;
        mLossShare = lossShare;
    }

    PeerTransport endpoint(String vm) {
        return mEndpoints.computeIfAbsent(vm, Endpoint::new);
    }

    void kill(String vm) {
        mDead.add(vm);
    }

    /** Returns the payload of the configuration messages that were sent. */
    long configBytes() {
        return mConfigBytes;
    }

    private void count(PeerMessage message) {
        if (message instanceof HeadAnswer answer) {
            mConfigBytes += (long) HASH_BYTES * answer.head().chunks().size();
        } else if (message instanceof ChunkRequest request) {
            mConfigBytes += (long) HASH_BYTES * request.names().size();
        } else if (message instanceof ChunkAnswer answer) {
            mConfigBytes +=
                    answer.texts().stream()
                            .mapToLong(text -> text.getBytes(StandardCharsets.UTF_8).length)
                            .sum();
        } else if (message instanceof io.rhubarbward.config.ConfigMessage) {
            mConfigBytes += SMALL_MESSAGE_BYTES;
        }
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
            if (mDead.contains(mVm)) {
                return;
            }
            count(message);
            if (mRandom.nextDouble() >= mLossShare) {
                mTimers.after(DELAY, () -> deliver(to.vm(), message));
            }
        }

        private void deliver(String to, PeerMessage message) {
            Endpoint endpoint = mEndpoints.get(to);
            if (endpoint != null && !mDead.contains(to)) {
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
