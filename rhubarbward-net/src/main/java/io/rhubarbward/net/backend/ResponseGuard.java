package io.rhubarbward.net.backend;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ScheduledFuture;
import io.rhubarbward.net.loop.LoopTimeout;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Pairs responses with requests on one connection; stands between the HTTP codec and the client in
 * the pipeline.
 *
 * <p>An id tells responses apart only if it is not sent twice on one connection after a refusal;
 * see {@link RefusedRequests}.
 *
 * <ul>
 *   <li>A response with the id of another request, or an interim response, is discarded, and the
 *       request stays open, unless what is discarded for it goes on for too long.
 *   <li>A message, or a part of one, that arrives while no request is open closes the connection,
 *       also if it comes with the end of the response before: it would join the next response.
 *   <li>A response that begins within the head of another one, or within one that is discarded,
 *       fails the open request: the earlier one was cut short.
 *   <li>A message that cannot be decoded fails the open request, also within a discarded response.
 *   <li>After an error nothing is passed on, so that a response that is delimited by the close of
 *       the connection does not look complete.
 *   <li>A response that is delimited by the end of the connection is complete only if the server
 *       ended the connection in an orderly way and the request was written whole. The kernel
 *       reports a reset once, to a read or to a write: after a failed write, the input of a
 *       connection that was reset ends like that of one that was closed in an orderly way.
 *   <li>A connection whose response begins before its request is written serves no other request.
 *       It is closed once the request is written, and at the latest a while after the response.
 *   <li>An idle connection is closed before the server's own idle timeout, so that no request is
 *       sent on a connection that the server is closing.
 *   <li>The header field that the client library adds by itself is removed.
 * </ul>
 */
final class ResponseGuard extends ChannelDuplexHandler {
    /** Idle timeout of connections to servers that send no {@code Keep-Alive} timeout. */
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 4000;

    /**
     * Fraction of the server's {@code Keep-Alive} timeout after which an idle connection closes.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 0.5;

    /** Bytes that are discarded for one request, beyond any sound answer to an earlier one. */
    private static final long MAX_DISCARDED_BYTES = 16_777_216;

    /** What the head of a discarded response counts for. */
    private static final long HEAD_BYTES = 512;

    /** How long a request may still be written after the end of its response. */
    private static final long WRITE_AFTER_END_MILLIS = 1000;

    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");
    private static final long MILLIS_PER_SECOND = 1000;

    private final @Nullable String mIdHeader;
    private final AnswerDecoder mDecoder;
    private final StatusLineScanner mScanner = new StatusLineScanner();
    private @Nullable String mExpectedId;
    private boolean mRequestOpen;
    private boolean mDiscarding;
    private long mDiscardedBytes;
    private boolean mForwarding;
    private boolean mFailed;

    /** Whether a part of the latest request is not written to the socket yet. */
    private boolean mWriting;

    /** The end of a response that is delimited by the connection, until the request is written. */
    private @Nullable LastHttpContent mHeldEnd;

    /** The close of the connection, if it waits until the request is written. */
    private @Nullable ChannelPromise mHeldClose;

    private @Nullable LoopTimeout mWriteLimit;
    private long mIdleTimeoutMillis = DEFAULT_IDLE_TIMEOUT_MILLIS;
    private @Nullable ScheduledFuture<?> mIdleClose;

    /**
     * Pairs responses with requests.
     *
     * @param idHeader the header field that pairs them; null if responses name no request
     * @param decoder the decoder before this in the pipeline
     */
    ResponseGuard(@Nullable String idHeader, AnswerDecoder decoder) {
        mIdHeader = idHeader;
        mDecoder = decoder;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof HttpRequest request) {
            if (mIdleClose != null) {
                mIdleClose.cancel(false);
                mIdleClose = null;
            }
            mExpectedId = id(request.headers());
            mRequestOpen = true;
            mForwarding = false;
            mDiscardedBytes = 0;
            mDecoder.expectAnswerTo(request.method());
            LibraryHeaders.removeFrom(request.headers());
            mWriting = true;
        }
        if (message instanceof LastHttpContent) {
            promise = promise.unvoid();
            promise.addListener(written -> onWritten(context, written));
        }
        context.write(message, promise);
    }

    private @Nullable String id(HttpHeaders headers) {
        return mIdHeader == null ? null : headers.get(mIdHeader);
    }

    private void onWritten(ChannelHandlerContext context, Future<?> written) {
        mWriting = false;
        if (mHeldClose != null) {
            closeNow(context);
        } else if (!written.isSuccess()) {
            if (mRequestOpen && !mFailed) {
                fail(context, "writing the request failed: " + written.cause());
            }
        } else if (mHeldEnd != null) {
            passHeldEnd(context);
        }
    }

    /** Closes after the request is written, if its response is complete already. */
    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) {
        if (!mWriting || mRequestOpen || mFailed || !context.channel().isActive()) {
            context.close(promise);
        } else if (mHeldClose == null) {
            mHeldClose = promise;
            mWriteLimit = limitWriting(context, () -> closeNow(context));
        } else {
            context.close(promise);
        }
    }

    private static LoopTimeout limitWriting(ChannelHandlerContext context, Runnable onEnd) {
        return LoopTimeout.start(
                context.executor(), onEnd, WRITE_AFTER_END_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void closeNow(ChannelHandlerContext context) {
        ChannelPromise promise = mHeldClose;
        mHeldClose = null;
        if (promise != null) {
            context.close(promise);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof HttpObject object) || mFailed) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (object.decoderResult().isFailure()) {
            ReferenceCountUtil.release(message);
            if (mRequestOpen) {
                exceptionCaught(context, object.decoderResult().cause());
            } else {
                context.close();
            }
            return;
        }
        if (!mRequestOpen && !mDiscarding) {
            ReferenceCountUtil.release(message);
            if (!(message instanceof LastHttpContent)) {
                context.close();
            }
            return;
        }
        if (message instanceof HttpResponse head && !mForwarding) {
            if (StatusLineScanner.beginsWithin(head)) {
                ReferenceCountUtil.release(message);
                fail(context, "a response begins within the head of another one");
                return;
            }
            startResponse(head);
        }
        if (mDiscarding) {
            discard(context, object);
            return;
        }
        if (object instanceof LastHttpContent last && mForwarding) {
            if (mDecoder.inputEnd() != AnswerDecoder.InputEnd.NONE) {
                endWithConnection(context, last);
                return;
            }
            mRequestOpen = false;
            mForwarding = false;
            scheduleIdleClose(context);
            closeIfNotClean(context);
        }
        context.fireChannelRead(message);
    }

    /** Passes the end of a response on that is delimited by the end of the connection. */
    private void endWithConnection(ChannelHandlerContext context, LastHttpContent end) {
        if (mDecoder.inputEnd() == AnswerDecoder.InputEnd.CLOSED) {
            ReferenceCountUtil.release(end);
            fail(context, "the connection was lost within a body without a length");
            return;
        }
        mHeldEnd = end;
        if (mWriting) {
            mWriteLimit =
                    limitWriting(
                            context,
                            () -> {
                                if (mHeldEnd != null) {
                                    fail(context, "the request was not written");
                                }
                            });
        } else {
            passHeldEnd(context);
        }
    }

    /** The close comes before the end, so that the client does not reuse the connection. */
    private void passHeldEnd(ChannelHandlerContext context) {
        LastHttpContent end = mHeldEnd;
        mHeldEnd = null;
        mRequestOpen = false;
        mForwarding = false;
        context.close();
        if (end != null) {
            context.fireChannelRead(end);
        }
    }

    /** Half-closed connections stay open here only while a request is being written. */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent && mHeldEnd == null && mHeldClose == null) {
            context.close();
        }
        context.fireUserEventTriggered(event);
    }

    /**
     * Closes an idle connection with the beginning of a response. The close comes before the client
     * gets the end of the response before, so that it does not reuse the connection.
     */
    private void closeIfNotClean(ChannelHandlerContext context) {
        if (!mRequestOpen && mDecoder.hasUndecodedBytes()) {
            context.close();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        closeIfNotClean(context);
        context.fireChannelReadComplete();
    }

    private void discard(ChannelHandlerContext context, HttpObject object) {
        mDiscarding = !(object instanceof LastHttpContent);
        boolean cutShort = false;
        if (object instanceof HttpContent content) {
            mDiscardedBytes += content.content().readableBytes();
            cutShort = mScanner.beginsWithin(content.content()) || hasIdInTrailers(content);
        } else {
            mDiscardedBytes += HEAD_BYTES;
            mScanner.reset();
        }
        ReferenceCountUtil.release(object);
        if (cutShort) {
            fail(context, "a response begins within the body of another one");
        } else if (mDiscardedBytes > MAX_DISCARDED_BYTES) {
            fail(context, "read " + mDiscardedBytes + " bytes of other responses");
        }
    }

    /** The chunk size that ends a body takes a status line that follows it for an extension. */
    private boolean hasIdInTrailers(HttpContent content) {
        return mIdHeader != null
                && content instanceof LastHttpContent last
                && last.trailingHeaders().contains(mIdHeader);
    }

    private void fail(ChannelHandlerContext context, String detail) {
        exceptionCaught(
                context,
                new CorruptedFrameException(detail + ": expected the response to " + mExpectedId));
    }

    private void startResponse(HttpResponse head) {
        boolean interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        String id = id(head.headers());
        mDiscarding = interim || (mExpectedId != null && id != null && !id.equals(mExpectedId));
        mForwarding = !mDiscarding;
        if (mForwarding && mWriting) {
            // The client reuses connections as this field says.
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        if (mDiscarding && head instanceof FullHttpResponse) {
            return;
        }
        Matcher timeout =
                KEEP_ALIVE_TIMEOUT.matcher(head.headers().get(HttpHeaderNames.KEEP_ALIVE, ""));
        if (timeout.find()) {
            long serverTimeoutMillis = Long.parseLong(timeout.group(1)) * MILLIS_PER_SECOND;
            mIdleTimeoutMillis = (long) (serverTimeoutMillis * IDLE_TIMEOUT_FRACTION);
        }
    }

    private void scheduleIdleClose(ChannelHandlerContext context) {
        mIdleClose =
                context.executor()
                        .schedule(
                                () -> {
                                    if (!mRequestOpen) {
                                        context.close();
                                    }
                                },
                                mIdleTimeoutMillis,
                                TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (mIdleClose != null) {
            mIdleClose.cancel(false);
        }
        if (mWriteLimit != null) {
            mWriteLimit.cancel();
        }
        closeNow(context);
        releaseHeldEnd();
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mFailed = true;
        releaseHeldEnd();
        context.fireExceptionCaught(cause);
        context.close();
    }

    private void releaseHeldEnd() {
        ReferenceCountUtil.release(mHeldEnd);
        mHeldEnd = null;
    }
}
