package io.rhubarbward.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.rhubarbward.net.loop.LoopTimeout;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.ConnectionRefusal;
import io.rhubarbward.request.HeaderField;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.request.Refusal;
import io.rhubarbward.request.RefusalCode;
import io.rhubarbward.timer.TimerService;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * One caller's connection: collects a whole request, passes it to the handler, and processes the
 * next request once the response is written.
 *
 * <p>The decoder before it decodes the next request only once {@link RequestEnd} tells it to.
 */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> {
    /** Time after which a refused request may find room for its head or its body. */
    private static final long MEMORY_RETRY_MILLIS = 1000;

    private final TimerService mTimers;
    private final Supplier<HttpLimits> mCurrentLimits;
    private final HttpHandler mHandler;
    private final BooleanSupplier mKeepAliveDisabled;
    // Messages of a decoder that decodes ahead; the listeners' own decodes one request at a time.
    private final Queue<HttpObject> mPipelined = new ArrayDeque<>();
    private final HttpResources mResources;
    private final RequestBodyMemory.Reservation mBodyMemory;
    private HttpLimits mLimits;
    private @Nullable HttpRequest mRequestHead;
    private ByteBuf mRequestBody = Unpooled.EMPTY_BUFFER;
    // Whether the rest of the body of a refused request is being read and dropped.
    private boolean mDiscarding;
    private long mDiscardedBytes;
    // Whether the connection closes with the response that is being written.
    private boolean mClosing;
    private @Nullable LoopTimeout mReadTimeout;
    private @Nullable NettyResponse mResponse;
    private @Nullable LoopTimeout mIdleTimeout;
    // Accessed on the timer service's thread only.
    private @Nullable ActiveExchange mActiveExchange;

    /**
     * Creates the handler of one connection.
     *
     * @param limits the limits that are in force; asked for each request
     * @param resources where the bodies of requests find room, and closed connections are recorded
     * @param keepAliveDisabled whether the connection closes after its response; asked when a
     *     response begins
     */
    CallerConnection(
            TimerService timers,
            Supplier<HttpLimits> limits,
            HttpResources resources,
            HttpHandler handler,
            BooleanSupplier keepAliveDisabled) {
        mTimers = timers;
        mCurrentLimits = limits;
        mResources = resources;
        mBodyMemory = resources.bodies().reservation();
        mLimits = limits.get();
        mHandler = handler;
        mKeepAliveDisabled = keepAliveDisabled;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        startIdleTimeout(context);
    }

    private void startIdleTimeout(ChannelHandlerContext context) {
        cancelIdleTimeout();
        mIdleTimeout =
                LoopTimeout.startWithLimit(
                        context.executor(),
                        () -> closeIfIdle(context.channel()),
                        () -> mCurrentLimits.get().idleMillis());
    }

    private void cancelIdleTimeout() {
        if (mIdleTimeout != null) {
            mIdleTimeout.cancel();
            mIdleTimeout = null;
        }
    }

    /** Returns whether a request is being served. */
    boolean requestInProgress() {
        return mResponse != null;
    }

    /** Closes the connection unless a request is in progress, or the head of one has begun. */
    void closeIfIdle(Channel channel) {
        ListenerCodec codec = channel.pipeline().get(ListenerCodec.class);
        boolean headBegun = codec != null && codec.headBegun();
        if (mRequestHead == null && mResponse == null && !mDiscarding && !headBegun) {
            channel.close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (mDiscarding) {
            discard(context, message);
            return;
        }
        if (mResponse != null) {
            // The rest of a refused request is dropped: its connection closes with the response.
            if (!mClosing) {
                mPipelined.add(ReferenceCountUtil.retain(message));
            }
            return;
        }
        process(context, message);
    }

    private void process(ChannelHandlerContext context, HttpObject message) {
        DecoderResult result = message.decoderResult();
        if (result.isFailure()) {
            sendRefusal(context, decodeFailure(result.cause()));
        } else if (message instanceof HttpRequest head) {
            cancelIdleTimeout();
            startRequest(context, head);
        }
        if (message instanceof HttpContent content && mRequestHead != null) {
            appendBody(context, content);
        }
    }

    private void startRequest(ChannelHandlerContext context, HttpRequest head) {
        mLimits = mCurrentLimits.get();
        if (!mLimits.allowHead(head)) {
            sendRefusal(context, mLimits.headTooLarge());
            return;
        }
        if (HttpUtil.getContentLength(head, 0L) > mLimits.maxBodyBytes()) {
            sendRefusal(context, mLimits.bodyTooLarge());
            return;
        }
        mRequestHead = head;
        startReadTimeout(context);
        long expectedBytes = HttpUtil.getContentLength(head, 0L);
        if (!mBodyMemory.growTo(expectedBytes)) {
            refuseForLackOfMemory(context, head, false);
            return;
        }
        // Not pooled, so that the request takes over the array, which has the body's size.
        mRequestBody = Unpooled.buffer((int) expectedBytes);
        if (HttpUtil.is100ContinueExpected(head)) {
            context.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    private void startReadTimeout(ChannelHandlerContext context) {
        mReadTimeout =
                LoopTimeout.start(
                        context.executor(),
                        () -> onReadTimeout(context),
                        mLimits.requestReadMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private void cancelReadTimeout() {
        if (mReadTimeout != null) {
            mReadTimeout.cancel();
            mReadTimeout = null;
        }
    }

    private void appendBody(ChannelHandlerContext context, HttpContent content) {
        int bytes = mRequestBody.readableBytes() + content.content().readableBytes();
        if (bytes > mLimits.maxBodyBytes()) {
            sendRefusal(context, mLimits.bodyTooLarge());
            return;
        }
        if (mRequestHead != null && !mBodyMemory.growTo(bytes)) {
            refuseForLackOfMemory(context, mRequestHead, content instanceof LastHttpContent);
            return;
        }
        mRequestBody.writeBytes(content.content());
        if (content instanceof LastHttpContent && mRequestHead != null) {
            CallerRequest request = toCallerRequest(mRequestHead, mRequestBody);
            NettyResponse response =
                    startResponse(
                            context,
                            mRequestHead.protocolVersion(),
                            HttpUtil.isKeepAlive(mRequestHead));
            discardRequest();
            // A close that arrived with the request is processed first.
            context.executor().execute(() -> mTimers.execute(() -> serve(request, response)));
        }
    }

    /**
     * Refuses the request at once. The rest of its body is read and dropped: if the connection were
     * closed with bytes unread, the caller might not receive the answer.
     */
    private void refuseForLackOfMemory(
            ChannelHandlerContext context, HttpRequest head, boolean bodyEnded) {
        Refusal refusal =
                new Refusal(
                        RefusalCode.BODY_MEMORY_FULL,
                        "expected fewer or smaller bodies at a time",
                        MEMORY_RETRY_MILLIS);
        if (HttpUtil.is100ContinueExpected(head)) {
            // Whether the caller sends the body all the same can't be told from what follows.
            sendRefusal(context, refusal);
            return;
        }
        discardRequest();
        mBodyMemory.release();
        NettyResponse response =
                startResponse(context, head.protocolVersion(), HttpUtil.isKeepAlive(head));
        mTimers.execute(() -> refusal.sendTo(response));
        if (!bodyEnded) {
            mDiscarding = true;
            mDiscardedBytes = 0;
            startReadTimeout(context);
            processPipelined(context);
        }
    }

    private void discard(ChannelHandlerContext context, HttpObject message) {
        if (message instanceof HttpContent content) {
            mDiscardedBytes += content.content().readableBytes();
        }
        if (message.decoderResult().isFailure() || mDiscardedBytes > mLimits.maxBodyBytes()) {
            onUnreadableRest(context);
        } else if (message instanceof LastHttpContent) {
            mDiscarding = false;
            cancelReadTimeout();
            if (mResponse == null) {
                startIdleTimeout(context);
                context.pipeline().fireUserEventTriggered(RequestEnd.INSTANCE);
            }
        }
    }

    private void onUnreadableRest(ChannelHandlerContext context) {
        mResources.record(ConnectionRefusal.UNREADABLE_REST, context.channel());
        mDiscarding = false;
        cancelReadTimeout();
        closeAfterResponse(context);
    }

    private void closeAfterResponse(ChannelHandlerContext context) {
        mClosing = true;
        if (mResponse == null) {
            context.close();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == CloseAfterResponse.INSTANCE) {
            closeAfterResponse(context);
        }
        context.fireUserEventTriggered(event);
    }

    private void serve(CallerRequest request, NettyResponse response) {
        ActiveExchange exchange = new ActiveExchange();
        mActiveExchange = exchange;
        exchange.mListener = mHandler.handle(request, response);
    }

    private NettyResponse startResponse(
            ChannelHandlerContext context, HttpVersion callerVersion, boolean keepAlive) {
        NettyResponse response =
                new NettyResponse(
                        context.channel(),
                        callerVersion,
                        () -> keepAlive && !mClosing && !mKeepAliveDisabled.getAsBoolean(),
                        () -> onResponseWritten(context));
        mResponse = response;
        return response;
    }

    private void onResponseWritten(ChannelHandlerContext context) {
        mResponse = null;
        mBodyMemory.release();
        mTimers.execute(() -> mActiveExchange = null);
        if (mClosing) {
            context.close();
            return;
        }
        startIdleTimeout(context);
        processPipelined(context);
        if (!mDiscarding) {
            context.pipeline().fireUserEventTriggered(RequestEnd.INSTANCE);
        }
    }

    private void processPipelined(ChannelHandlerContext context) {
        while ((mResponse == null || mDiscarding) && !mPipelined.isEmpty()) {
            HttpObject next = mPipelined.remove();
            try {
                if (mDiscarding) {
                    discard(context, next);
                } else {
                    process(context, next);
                }
            } finally {
                ReferenceCountUtil.release(next);
            }
        }
    }

    private void sendRefusal(ChannelHandlerContext context, Refusal refusal) {
        HttpVersion callerVersion =
                mRequestHead == null ? HttpVersion.HTTP_1_1 : mRequestHead.protocolVersion();
        discardRequest();
        mClosing = true;
        NettyResponse response = startResponse(context, callerVersion, false);
        mTimers.execute(() -> refusal.sendTo(response));
    }

    private void onReadTimeout(ChannelHandlerContext context) {
        if (mDiscarding) {
            onUnreadableRest(context);
            return;
        }
        sendRefusal(context, mLimits.requestTimeout());
    }

    private void discardRequest() {
        mRequestHead = null;
        mRequestBody.release();
        mRequestBody = Unpooled.EMPTY_BUFFER;
        cancelReadTimeout();
    }

    private Refusal decodeFailure(Throwable cause) {
        if (cause instanceof RequestRefusedException refused) {
            return switch (refused.refusal()) {
                case HEAD_TOO_LARGE -> mCurrentLimits.get().headTooLarge();
                case HEAD_TIMEOUT -> mCurrentLimits.get().headTimeout();
                default ->
                        new Refusal(
                                RefusalCode.HEAD_MEMORY_FULL,
                                "expected fewer or smaller heads at a time",
                                MEMORY_RETRY_MILLIS);
            };
        }
        boolean tooLong =
                cause instanceof TooLongHttpHeaderException
                        || cause instanceof TooLongHttpLineException;
        return tooLong
                ? mLimits.headTooLarge()
                : Refusal.of(RefusalCode.MALFORMED_REQUEST, "expected an HTTP/1.1 request");
    }

    private static CallerRequest toCallerRequest(HttpRequest head, ByteBuf body) {
        HeaderFields headers =
                new HeaderFields(
                        head.headers().entries().stream()
                                .map(entry -> new HeaderField(entry.getKey(), entry.getValue()))
                                .toList());
        return new CallerRequest(
                head.method().name(),
                head.uri(),
                headers,
                ByteBuffer.wrap(
                        ByteBufUtil.getBytes(
                                body, body.readerIndex(), body.readableBytes(), false)));
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        boolean writable = context.channel().isWritable();
        mTimers.execute(
                () -> {
                    if (mActiveExchange != null && mActiveExchange.mListener != null) {
                        mActiveExchange.mListener.onWritable(writable);
                    }
                });
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        discardRequest();
        cancelIdleTimeout();
        mBodyMemory.release();
        mPipelined.forEach(ReferenceCountUtil::release);
        mPipelined.clear();
        mTimers.execute(
                () -> {
                    if (mActiveExchange != null && mActiveExchange.mListener != null) {
                        mActiveExchange.mListener.onGone();
                        mActiveExchange = null;
                    }
                });
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // Nothing can be sent on a broken connection. channelInactive notifies the exchange.
        if (cause instanceof IOException) {
            context.close();
        } else {
            mResources.closeAfterError(context.channel(), cause);
        }
    }

    /** The request in progress; its listener is null until the handler returns. */
    private static final class ActiveExchange {
        private @Nullable CallerListener mListener;
    }
}
