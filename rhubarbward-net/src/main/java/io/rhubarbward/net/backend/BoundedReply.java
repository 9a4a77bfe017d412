package io.rhubarbward.net.backend;

import io.netty.handler.codec.TooLongFrameException;
import org.asynchttpclient.AsyncCompletionHandlerBase;
import org.asynchttpclient.HttpResponseBodyPart;

/**
 * Keeps a whole reply up to a size and fails with a {@link TooLongFrameException} beyond it, which
 * closes the connection: a faulty server may send a body without end.
 */
public final class BoundedReply extends AsyncCompletionHandlerBase {
    private final long mMaxBytes;
    private long mBytes;

    /** Keeps bodies of up to the given size. */
    public BoundedReply(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) throws Exception {
        mBytes += part.length();
        if (mBytes > mMaxBytes) {
            throw new TooLongFrameException(
                    "read " + mBytes + " bytes: expected at most " + mMaxBytes);
        }
        return super.onBodyPartReceived(part);
    }

    @Override
    public void onThrowable(Throwable cause) {
        // The failed future tells the caller.
    }
}
