package io.rhubarbward.testing;

import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.request.ConnectionRefusal;
import io.rhubarbward.request.HeaderFields;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** A response that records what was sent to the caller. */
public final class RecordingResponse implements CallerResponse {
    private final StringBuilder mBody = new StringBuilder();
    private int mStatus;
    private HeaderFields mHeaders = HeaderFields.NONE;
    private boolean mFinished;
    private boolean mAborted;
    private boolean mStalled;
    private boolean mCallerLeft;
    private Runnable mOnDelivered = () -> {};
    private Optional<ConnectionRefusal> mCloseCause = Optional.empty();

    @Override
    public void begin(int status, HeaderFields headers) {
        if (mStatus != 0) {
            throw new IllegalStateException(
                    "begin was called twice: with status " + status + " after " + mStatus);
        }
        mStatus = status;
        mHeaders = headers;
    }

    @Override
    public void write(ByteBuffer part) {
        if (mFinished || mAborted) {
            throw new IllegalStateException("write was called after finish or abort");
        }
        mBody.append(StandardCharsets.UTF_8.decode(part.duplicate()));
    }

    @Override
    public void finish() {
        mFinished = true;
    }

    @Override
    public void abort() {
        mAborted = true;
    }

    @Override
    public void whenDelivered(Runnable action) {
        mOnDelivered = action;
        if (!mStalled) {
            action.run();
        }
    }

    @Override
    public boolean callerPresent() {
        return !mCallerLeft;
    }

    @Override
    public Optional<ConnectionRefusal> closeCause() {
        return mCloseCause;
    }

    /** Simulates that this process closes the caller's connection. */
    public void closeFor(ConnectionRefusal cause) {
        mCloseCause = Optional.of(cause);
    }

    /** Simulates a close of the caller's connection of which the exchange is not told yet. */
    public void callerLeaves() {
        mCallerLeft = true;
    }

    /** Simulates a caller that does not read: delivery is complete only after {@link #deliver}. */
    public void stallDelivery() {
        mStalled = true;
    }

    public void deliver() {
        mOnDelivered.run();
    }

    public int status() {
        return mStatus;
    }

    public HeaderFields headers() {
        return mHeaders;
    }

    public String body() {
        return mBody.toString();
    }

    public boolean finished() {
        return mFinished;
    }

    public boolean aborted() {
        return mAborted;
    }

    /** Returns whether the response was finished or aborted. */
    public boolean ended() {
        return mFinished || mAborted;
    }
}
