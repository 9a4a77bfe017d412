package io.rhubarbward.replay;

import io.rhubarbward.request.BackendCall;
import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.request.BackendListener;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.timer.TimerService;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.BiConsumer;

/** One request on one backend server, answered token by token. */
final class ReplayRun implements BackendCall {
    private static final int OK = 200;
    private static final int ERROR = 500;

    private final String mId;
    private final BackendListener mListener;
    private final TimerService mTimers;
    private final BiConsumer<ReplayRun, Boolean> mOnEnd;
    private boolean mOver;

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

    /** Answers with an error after the time. */
    void startFailing(long afterMillis) {
        mTimers.after(
                Duration.ofMillis(afterMillis),
                () -> {
                    if (end(false)) {
                        mListener.onHead(
                                ERROR, HeaderFields.of("content-type", "application/json"));
                        part("{}");
                        mListener.onComplete();
                    }
                });
    }

    /** Answers after the first token's time and that of all others. */
    void start(long firstTokenMillis, long restMillis) {
        mTimers.after(Duration.ofMillis(firstTokenMillis), this::head);
        mTimers.after(Duration.ofMillis(firstTokenMillis + restMillis), this::complete);
    }

    private void head() {
        if (!mOver) {
            mListener.onHead(OK, HeaderFields.of("content-type", "text/event-stream"));
            part(firstPart(mId));
        }
    }

    private void complete() {
        if (end(true)) {
            part(lastPart(mId));
            mListener.onComplete();
        }
    }

    /** Ends the connection before the answer. */
    void lose() {
        if (end(false)) {
            mListener.onFailure(BackendFailure.CONNECTION_LOST);
        }
    }

    private boolean end(boolean completed) {
        if (mOver) {
            return false;
        }
        mOver = true;
        mOnEnd.accept(this, completed);
        return true;
    }

    private void part(String text) {
        mListener.onPart(StandardCharsets.UTF_8.encode(text));
    }

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
        // The replay's callers read everything at once.
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
