package io.rhubarbward.replay;

import io.rhubarbward.request.BackendCall;
import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.request.BackendListener;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.timer.TimerService;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.BiConsumer;

/** One request that runs on a simulated backend server, answered in two parts. */
final class ReplayRun implements BackendCall {
    private static final int OK = 200;
    private static final int ERROR = 500;

    private final String mId;
    private final BackendListener mListener;
    private final TimerService mTimers;
    private final BiConsumer<ReplayRun, Boolean> mOnEnd;
    private boolean mEnded;

    ReplayRun(
            String id,
            BackendListener listener,
            TimerService timers,
            BiConsumer<ReplayRun, Boolean> onEnd) {
        mId = id;
        mListener = listener;
        mTimers = timers;
        mOnEnd = onEnd;
    }

    /** Answers with status 500 after the time. */
    void answerWithError(long afterMillis) {
        mTimers.after(
                Duration.ofMillis(afterMillis),
                () -> {
                    if (end(false)) {
                        mListener.onHead(
                                ERROR, HeaderFields.of("content-type", "application/json"));
                        sendPart("{}");
                        mListener.onComplete();
                    }
                });
    }

    /** Sends the first part after the first token's time, and the last part after all tokens. */
    void answer(long firstTokenMillis, long otherTokensMillis) {
        mTimers.after(Duration.ofMillis(firstTokenMillis), this::sendHead);
        mTimers.after(Duration.ofMillis(firstTokenMillis + otherTokensMillis), this::complete);
    }

    private void sendHead() {
        if (!mEnded) {
            mListener.onHead(OK, HeaderFields.of("content-type", "text/event-stream"));
            sendPart(firstPart(mId));
        }
    }

    private void complete() {
        if (end(true)) {
            sendPart(lastPart(mId));
            mListener.onComplete();
        }
    }

    /** Fails the request with a lost connection, unless it has ended. */
    void loseConnection() {
        if (end(false)) {
            mListener.onFailure(BackendFailure.CONNECTION_LOST);
        }
    }

    /** Marks the run as ended; returns false if it had ended before. */
    private boolean end(boolean completed) {
        if (mEnded) {
            return false;
        }
        mEnded = true;
        mOnEnd.accept(this, completed);
        return true;
    }

    private void sendPart(String text) {
        mListener.onPart(StandardCharsets.UTF_8.encode(text));
    }

    /** Returns the body that a complete run of the request sends. */
    static String wholeAnswer(String id) {
        return firstPart(id) + lastPart(id);
    }

    private static String firstPart(String id) {
        return "data: {\"answer\":\"" + id + "\"}\n\n";
    }

    private static String lastPart(String id) {
        return "data: {\"end\":\"" + id + "\"}\n\ndata: [DONE]\n\n";
    }

    @Override
    public void pause() {
        // No backpressure: the replay's callers read everything at once.
    }

    @Override
    public void resume() {
        // See pause().
    }

    @Override
    public void cancel() {
        end(false);
    }
}
