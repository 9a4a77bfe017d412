package io.rhubarbward.testing;

import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.request.HeaderFields;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** A caller's side of an answer that remembers what it was sent. */
public final class RecordingResponse implements CallerResponse {
    private final StringBuilder mBody = new StringBuilder();
    private int mStatus;
    private HeaderFields mHeaders = HeaderFields.NONE;
    private boolean mFinished;
    private boolean mAborted;
    private boolean mStalled;
    private Runnable mOnDelivered = () -> {};

    @Override
    public void begin(int status, HeaderFields headers) {
        if (mStatus != 0) {
            throw new IllegalStateException("a second head: " + status + " after " + mStatus);
        }
        mStatus = status;
        mHeaders = headers;
    }

    @Override
    public void write(ByteBuffer part) {
        if (mFinished || mAborted) {
            throw new IllegalStateException("a part after the end");
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

    /** Lets what is written wait, as for a caller that does not read, until delivered. */
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

    /** Returns whether nothing more can come. */
    public boolean ended() {
        return mFinished || mAborted;
    }
}
