package io.rhubarbward.testing;

import io.rhubarbward.request.BackendCall;
import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.request.BackendListener;
import io.rhubarbward.request.BackendRequest;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.timer.TimerService;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** A request from one router to another, in virtual time: each message takes a millisecond. */
final class PeerLink implements BackendCall, CallerResponse {
    private static final Duration DELAY = Duration.ofMillis(1);

    private final TimerService mTimers;
    private final BackendListener mListener;
    private @Nullable CallerListener mCaller;
    private boolean mCancelled;
    private boolean mEnded;

    PeerLink(TimerService timers, BackendListener listener) {
        mTimers = timers;
        mListener = listener;
    }

    /** Sends the request to the router's handler. */
    void send(
            BackendRequest request,
            TimerService receiver,
            BiFunction<CallerRequest, CallerResponse, CallerListener> handler) {
        CallerRequest received =
                new CallerRequest(
                        request.method(), request.target(), request.headers(), request.body());
        receiver.after(
                DELAY,
                () -> {
                    if (!mCancelled) {
                        mCaller = handler.apply(received, this);
                    }
                });
    }

    void fail(Duration after, BackendFailure failure) {
        mTimers.after(after, () -> tell(listener -> listener.onFailure(failure)));
    }

    private void tell(Consumer<BackendListener> event) {
        if (!mCancelled) {
            event.accept(mListener);
        }
    }

    private void later(Consumer<BackendListener> event) {
        mTimers.after(DELAY, () -> tell(event));
    }

    @Override
    public void begin(int status, HeaderFields headers) {
        later(listener -> listener.onHead(status, headers));
    }

    @Override
    public void write(ByteBuffer part) {
        later(listener -> listener.onPart(part));
    }

    @Override
    public void finish() {
        mEnded = true;
        later(BackendListener::onComplete);
    }

    @Override
    public void abort() {
        if (!mEnded) {
            mEnded = true;
            later(listener -> listener.onFailure(BackendFailure.CONNECTION_LOST));
        }
    }

    @Override
    public void pause() {}

    @Override
    public void resume() {}

    @Override
    public void cancel() {
        mCancelled = true;
        mTimers.after(
                DELAY,
                () -> {
                    if (mCaller != null) {
                        mCaller.onGone();
                    }
                });
    }
}
