package io.rhubarbward.bench.execution;

import io.rhubarbward.request.BackendCall;
import io.rhubarbward.request.BackendClient;
import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.request.BackendListener;
import io.rhubarbward.request.BackendRequest;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.timer.TimerService;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Services that count how often each key and each send ran, and fail in every way. */
final class ReplayServices implements BackendClient {
    private static final int MAX_WORK_MILLIS = 150;
    private static final int LARGE_BODY = 5000;
    private static final int CREATED = 201;

    private final TimerService mTimers;
    private final RandomGenerator mRandom;
    private final Map<String, Integer> mRunsByKey = new HashMap<>();
    private final Map<String, Integer> mRunsBySend = new HashMap<>();
    private final Set<String> mTaken = new HashSet<>();

    ReplayServices(TimerService timers, RandomGenerator random) {
        mTimers = timers;
        mRandom = random;
    }

    int runs() {
        return mRunsByKey.values().stream().mapToInt(Integer::intValue).sum();
    }

    int keysRunTwice() {
        return (int) mRunsByKey.values().stream().filter(runs -> runs > 1).count();
    }

    boolean ran(String send) {
        return mRunsBySend.containsKey(send);
    }

    /** Returns whether a router handed the send to a service, whatever came of it. */
    boolean took(String send) {
        return mTaken.contains(send);
    }

    @Override
    public BackendCall send(BackendRequest request, BackendListener listener) {
        mTaken.add(send(request));
        Fate fate = Fate.values()[mRandom.nextInt(Fate.values().length)];
        Duration work = Duration.ofMillis(1 + mRandom.nextInt(MAX_WORK_MILLIS));
        mTimers.after(work, () -> arrive(request, listener, fate, work));
        return new Call();
    }

    private void arrive(
            BackendRequest request, BackendListener listener, Fate fate, Duration work) {
        if (fate.mRuns) {
            run(request);
        }
        mTimers.after(work, () -> fate.answer(listener, key(request)));
    }

    private void run(BackendRequest request) {
        mRunsByKey.merge(key(request), 1, Integer::sum);
        mRunsBySend.merge(send(request), 1, Integer::sum);
    }

    private static String send(BackendRequest request) {
        return request.headers().first(ReplayCaller.SEND_HEADER).orElseThrow();
    }

    private static String key(BackendRequest request) {
        return request.headers().first("idempotency-key").orElseThrow();
    }

    /** What a service does with a request; half of them answer. */
    private enum Fate {
        ANSWERED(true),
        ANSWERED_AGAIN(true),
        ANSWERED_LARGE(true) {
            @Override
            void answer(BackendListener listener, String key) {
                whole(listener, key + " ".repeat(LARGE_BODY));
            }
        },
        ANSWERED_THEN(true),
        UNREACHABLE(false) {
            @Override
            void answer(BackendListener listener, String key) {
                listener.onFailure(BackendFailure.NOT_CONNECTED);
            }
        },
        LOST_BEFORE_RUN(false) {
            @Override
            void answer(BackendListener listener, String key) {
                listener.onFailure(BackendFailure.CONNECTION_LOST);
            }
        },
        LOST_AFTER_RUN(true) {
            @Override
            void answer(BackendListener listener, String key) {
                listener.onFailure(BackendFailure.CONNECTION_LOST);
            }
        },
        SILENT_AFTER_RUN(true) {
            @Override
            void answer(BackendListener listener, String key) {}
        },
        SILENT(false) {
            @Override
            void answer(BackendListener listener, String key) {}
        },
        CUT(true) {
            @Override
            void answer(BackendListener listener, String key) {
                listener.onHead(CREATED, HeaderFields.of("content-type", "text/plain"));
                listener.onPart(StandardCharsets.UTF_8.encode(key));
                listener.onFailure(BackendFailure.CONNECTION_LOST);
            }
        };

        private final boolean mRuns;

        Fate(boolean runs) {
            mRuns = runs;
        }

        void answer(BackendListener listener, String key) {
            whole(listener, key);
        }

        private static void whole(BackendListener listener, String body) {
            listener.onHead(CREATED, HeaderFields.of("content-type", "text/plain"));
            listener.onPart(StandardCharsets.UTF_8.encode(body));
            listener.onComplete();
        }
    }

    /** A call whose answer comes whatever its sender does; a deaf listener drops it. */
    private static final class Call implements BackendCall {
        @Override
        public void pause() {}

        @Override
        public void resume() {}

        @Override
        public void cancel() {}
    }
}
