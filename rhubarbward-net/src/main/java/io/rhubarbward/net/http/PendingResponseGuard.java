package io.rhubarbward.net.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.util.concurrent.ScheduledFuture;
import io.rhubarbward.request.ConnectionRefusal;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Bounds the bytes that wait to be written, for a connection and in sum, and closes a connection
 * whose client reads none of them for the idle time.
 */
final class PendingResponseGuard extends ChannelDuplexHandler {
    /** Whole responses, such as metrics and lists of objects, are written in one go. */
    static final long MAX_PENDING_BYTES = 16_777_216;

    /**
     * Pending bytes below which a connection is not cut for the sum of all: otherwise many clients
     * that read slowly could end the connections of those that read at once.
     */
    private static final long MIN_CUT_BYTES = 4096;

    private final Supplier<HttpLimits> mLimits;
    private final HttpResources mResources;
    private final SharedMemory.Reservation mMemory;
    private long mWrites;
    private final ChannelFutureListener mOnWritten = written -> mWrites++;
    private boolean mClosed;
    private @Nullable ScheduledFuture<?> mProgressCheck;

    PendingResponseGuard(Supplier<HttpLimits> limits, HttpResources resources) {
        mLimits = limits;
        mResources = resources;
        mMemory = resources.pendingResponses().reservation();
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        context.write(message, promise.unvoid().addListener(mOnWritten));
        // Nothing is waiting for the client before the flush, so that no check is needed yet.
        reserve(context);
    }

    @Override
    public void flush(ChannelHandlerContext context) {
        context.flush();
        update(context);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        update(context);
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        update(context);
        context.fireUserEventTriggered(event);
    }

    private void update(ChannelHandlerContext context) {
        reserve(context);
        ChannelOutboundBuffer pending = context.channel().unsafe().outboundBuffer();
        if (pending != null
                && !mClosed
                && pending.totalPendingWriteBytes() > 0
                && mProgressCheck == null) {
            checkProgressLater(context, pending);
        }
    }

    private void reserve(ChannelHandlerContext context) {
        ChannelOutboundBuffer pending = context.channel().unsafe().outboundBuffer();
        if (pending == null || mClosed) {
            return;
        }
        long bytes = pending.totalPendingWriteBytes();
        boolean fits = mMemory.resizeTo(bytes) || bytes < MIN_CUT_BYTES;
        if (bytes > MAX_PENDING_BYTES || !fits) {
            cut(context, ConnectionRefusal.RESPONSE_MEMORY_FULL);
        }
    }

    private void checkProgressLater(ChannelHandlerContext context, ChannelOutboundBuffer pending) {
        long writesBefore = mWrites;
        long bytesBefore = pending.currentProgress();
        mProgressCheck =
                context.executor()
                        .schedule(
                                () -> {
                                    mProgressCheck = null;
                                    if (mWrites == writesBefore
                                            && pending.currentProgress() == bytesBefore) {
                                        cut(context, ConnectionRefusal.SLOW_READER);
                                    } else {
                                        update(context);
                                    }
                                },
                                mLimits.get().idleMillis(),
                                TimeUnit.MILLISECONDS);
    }

    /** Resets the connection: a response without a length would seem to end with a close. */
    private void cut(ChannelHandlerContext context, ConnectionRefusal refusal) {
        mClosed = true;
        context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        mResources.close(context.channel(), refusal);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (mProgressCheck != null) {
            mProgressCheck.cancel(false);
        }
        mMemory.release();
        mClosed = true;
        context.fireChannelInactive();
    }
}
