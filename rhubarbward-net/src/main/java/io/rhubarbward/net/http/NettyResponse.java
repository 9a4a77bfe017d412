package io.rhubarbward.net.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.request.ConnectionRefusal;
import io.rhubarbward.request.HeaderFields;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Writes one HTTP response to a Netty channel.
 *
 * <p>A caller that uses HTTP/1.0 knows no chunks: a body without a length ends with its connection,
 * and one that breaks off ends with a reset of the connection.
 */
final class NettyResponse implements CallerResponse {
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final Channel mChannel;
    private final HttpVersion mCallerVersion;
    private final BooleanSupplier mKeepAliveAllowed;
    private final Runnable mOnWritten;
    private @Nullable ChannelFuture mLastWrite;
    private boolean mKeepAlive;
    private boolean mFlushScheduled;
    private boolean mEnded;

    /**
     * Creates a response on the channel.
     *
     * @param callerVersion the HTTP version of the request
     * @param keepAliveAllowed whether the connection stays open afterwards; asked when the response
     *     begins
     * @param onWritten runs once the response is written, if the connection stays open
     */
    NettyResponse(
            Channel channel,
            HttpVersion callerVersion,
            BooleanSupplier keepAliveAllowed,
            Runnable onWritten) {
        mChannel = channel;
        mCallerVersion = callerVersion;
        mKeepAliveAllowed = keepAliveAllowed;
        mOnWritten = onWritten;
    }

    @Override
    public void begin(int status, HeaderFields headers) {
        if (mEnded) {
            return;
        }
        HttpResponse head =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        headers.fields().forEach(field -> head.headers().add(field.name(), field.value()));
        boolean hasNoBody = status == NO_CONTENT || status == NOT_MODIFIED;
        if (!hasNoBody && !HttpUtil.isContentLengthSet(head) && knowsChunks()) {
            HttpUtil.setTransferEncodingChunked(head, true);
        }
        mKeepAlive = knowsChunks() && mKeepAliveAllowed.getAsBoolean();
        if (!mKeepAlive) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        mChannel.write(head);
        scheduleFlush();
    }

    private boolean knowsChunks() {
        return mCallerVersion.compareTo(HttpVersion.HTTP_1_1) >= 0;
    }

    /** Flushes once for all writes in the same event-loop iteration. */
    private void scheduleFlush() {
        if (!mChannel.eventLoop().inEventLoop()) {
            // A flush queued earlier could run on the event loop before this thread's write.
            mChannel.flush();
        } else if (!mFlushScheduled) {
            mFlushScheduled = true;
            mChannel.eventLoop()
                    .execute(
                            () -> {
                                mFlushScheduled = false;
                                mChannel.flush();
                            });
        }
    }

    @Override
    public void write(ByteBuffer part) {
        if (!mEnded && part.hasRemaining()) {
            mChannel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(part)));
            scheduleFlush();
        }
    }

    @Override
    public void finish() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        ChannelFuture lastWrite = mChannel.write(new DefaultLastHttpContent());
        scheduleFlush();
        mLastWrite = lastWrite;
        lastWrite.addListener(
                (ChannelFutureListener)
                        written -> {
                            if (mKeepAlive && written.isSuccess()) {
                                mOnWritten.run();
                            } else {
                                mChannel.close();
                            }
                        });
    }

    @Override
    public void abort() {
        mEnded = true;
        // Once the last write is done, the connection may already serve the next request.
        if (mLastWrite == null || !mLastWrite.isDone()) {
            if (!knowsChunks()) {
                // Makes the close a reset.
                mChannel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
            mChannel.close();
        }
    }

    @Override
    public boolean callerPresent() {
        return mChannel.isActive();
    }

    @Override
    public Optional<ConnectionRefusal> closeCause() {
        return HttpResources.closeCause(mChannel);
    }

    @Override
    public void whenDelivered(Runnable action) {
        ChannelFuture last = mLastWrite != null ? mLastWrite : mChannel.closeFuture();
        last.addListener(written -> action.run());
    }
}
