package io.rhubarbward.net.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.rhubarbward.net.loop.LoopTimeout;
import io.rhubarbward.request.ConnectionRefusal;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Bounds the bytes that wait to be written, for a connection and in sum, and resets a connection
 * whose client reads none of them for the idle time.
 *
 * <p>The time runs only while a write is pending. The outbound buffer's sum does not tell: it
 * includes a write until the listeners of that write have run, and those of a response's last write
 * begin the next request.
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
    private final ChannelFutureListener mOnWritten = written -> onWritten();
    private long mPendingWrites;
    private long mCompletedWrites;
    private boolean mClosed;
    private @Nullable LoopTimeout mProgressCheck;

    PendingResponseGuard(Supplier<HttpLimits> limits, HttpResources resources) {
        mLimits = limits;
        mResources = resources;
        mMemory = resources.pendingResponses().reservation();
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        mPendingWrites++;
        context.write(message, promise.unvoid().addListener(mOnWritten));
        // Nothing is waiting for the client before the flush, so that no check is needed yet.
        reserve(context);
    }

    private void onWritten() {
        mCompletedWrites++;
        mPendingWrites--;
        if (mPendingWrites == 0) {
            cancelProgressCheck();
        }
    }

    private void cancelProgressCheck() {
        if (mProgressCheck != null) {
            mProgressCheck.cancel();
            mProgressCheck = null;
        }
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
        if (pending != null && !mClosed && mPendingWrites > 0 && mProgressCheck == null) {
            checkProgressAfterIdleTime(context, pending);
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

    private void checkProgressAfterIdleTime(
            ChannelHandlerContext context, ChannelOutboundBuffer pending) {
        long completedWrites = mCompletedWrites;
        long partialBytes = pending.currentProgress();
        mProgressCheck =
                LoopTimeout.startWithLimit(
                        context.executor(),
                        () -> {
                            mProgressCheck = null;
                            if (mCompletedWrites == completedWrites
                                    && pending.currentProgress() == partialBytes) {
                                cut(context, ConnectionRefusal.SLOW_READER);
                            } else {
                                update(context);
                            }
                        },
                        () -> mLimits.get().idleMillis());
    }

    /** Resets the connection: a response without a length would seem to end with a close. */
    private void cut(ChannelHandlerContext context, ConnectionRefusal refusal) {
        mClosed = true;
        context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        mResources.close(context.channel(), refusal);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        cancelProgressCheck();
        mMemory.release();
        mClosed = true;
        context.fireChannelInactive();
    }
}
