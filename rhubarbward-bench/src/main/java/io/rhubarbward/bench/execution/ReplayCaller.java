package io.rhubarbward.bench.execution;

import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.request.HeaderField;
import io.rhubarbward.request.HeaderFields;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * A caller that sends one key several times, wherever and whenever the seed says.
 *
 * <p>It sends again after an answer, a refusal, a cut or no answer at all; at the same time at two
 * routers; with another body; and it goes away in the middle.
 */
final class ReplayCaller {
    static final String SEND_HEADER = "x-send";
    private static final Duration PATIENCE = Duration.ofSeconds(4);
    private static final int MAX_SENDS = 4;
    private static final int MAX_PAUSE_MILLIS = 3000;
    private static final double AT_TWICE = 0.15;
    private static final double SENDS_AGAIN = 0.6;
    private static final double GOES_AWAY = 0.05;
    private static final double OTHER_BODY = 0.03;
    private static final Pattern CODE = Pattern.compile("\"code\":\"([a-z-]+)\"");
    private static final String NOT_RUN = "\"run\":\"not-run\"";

    private final SingleExecutionReplay mReplay;
    private final RandomGenerator mRandom;
    private final String mKey;
    private int mSends;

    ReplayCaller(SingleExecutionReplay replay, RandomGenerator random, String key) {
        mReplay = replay;
        mRandom = random;
        mKey = key;
    }

    void start() {
        send();
        if (mRandom.nextDouble() < AT_TWICE) {
            send();
        }
    }

    private void send() {
        Optional<MortalRouter> router = mReplay.anyRouter();
        if (mSends < MAX_SENDS && router.isPresent()) {
            Send send = new Send(mKey + "/" + mSends++, router.get());
            mReplay.sent(send);
            send.start();
        }
    }

    private CallerRequest request(String name) {
        String body = mRandom.nextDouble() < OTHER_BODY ? "other" : "tray";
        return new CallerRequest(
                "POST",
                "/orders/1",
                new HeaderFields(
                        List.of(
                                new HeaderField("authorization", "Bearer key"),
                                new HeaderField("idempotency-key", mKey),
                                new HeaderField(SEND_HEADER, name))),
                StandardCharsets.UTF_8.encode(body));
    }

    /** One request and what came back. */
    final class Send implements CallerResponse {
        private final String mName;
        private final MortalRouter mRouter;
        private final StringBuilder mBody = new StringBuilder();
        private @Nullable CallerListener mListener;
        private int mStatus;
        private boolean mOver;

        Send(String name, MortalRouter router) {
            mName = name;
            mRouter = router;
        }

        void start() {
            mListener = mRouter.serve(request(mName), this);
            mReplay.timers().after(PATIENCE, () -> over("no-answer"));
            if (mRandom.nextDouble() < GOES_AWAY) {
                mReplay.timers()
                        .after(
                                Duration.ofMillis(mRandom.nextInt(MAX_PAUSE_MILLIS / 10)),
                                () -> over("gone"));
            }
        }

        MortalRouter router() {
            return mRouter;
        }

        String name() {
            return mName;
        }

        boolean open() {
            return !mOver;
        }

        boolean refusedAsNotRun() {
            return mStatus >= 400 && mBody.indexOf(NOT_RUN) >= 0;
        }

        boolean crossed() {
            return mStatus > 0
                    && mStatus < 400
                    && !mBody.isEmpty()
                    && !mBody.toString().strip().equals(mKey);
        }

        @Override
        public void begin(int status, HeaderFields headers) {
            mStatus = status;
        }

        @Override
        public void write(ByteBuffer part) {
            mBody.append(StandardCharsets.UTF_8.decode(part.duplicate()));
        }

        @Override
        public void finish() {
            Matcher code = CODE.matcher(mBody);
            over(mStatus >= 400 && code.find() ? code.group(1) : Integer.toString(mStatus));
        }

        @Override
        public void abort() {
            over("cut");
        }

        private void over(String outcome) {
            if (mOver) {
                return;
            }
            mOver = true;
            mReplay.ended(outcome);
            if (mListener != null && (outcome.equals("gone") || outcome.equals("no-answer"))) {
                CallerListener listener = mListener;
                mRouter.whileAlive(listener::onGone);
            }
            if (mRandom.nextDouble() < SENDS_AGAIN) {
                mReplay.timers()
                        .after(
                                Duration.ofMillis(mRandom.nextInt(MAX_PAUSE_MILLIS)),
                                ReplayCaller.this::send);
            }
        }
    }
}
