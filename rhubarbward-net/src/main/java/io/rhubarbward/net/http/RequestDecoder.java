package io.rhubarbward.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.rhubarbward.net.loop.LoopTimeout;
import io.rhubarbward.request.ConnectionRefusal;
import java.util.List;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Decodes one request at a time, and bounds what a connection keeps in memory meanwhile.
 *
 * <p>After the end of a request, bytes stay undecoded until {@link RequestEnd}. They are read up to
 * {@link #MAX_READ_AHEAD_BYTES}, so that a close is noticed; then reading pauses. Heads, trailers
 * and these bytes are reserved in the memory that all listeners share, until the request has ended.
 * What does not fit, is too long or does not end in time is passed on as a request whose decoder
 * result is a {@link RequestRefusedException}; nothing is decoded after it.
 */
class RequestDecoder extends HttpRequestDecoder {
    /** Undecoded bytes behind a request at which reading pauses; one more read may follow. */
    static final int MAX_READ_AHEAD_BYTES = 16_384;

    /**
     * Memory that a header line takes up besides its bytes while its request is served: the name
     * and the value as two strings, the library's entry and this project's.
     */
    static final int LINE_COST_BYTES = 256;

    private static final int MIN_LINE_BYTES = 2;

    /** An empty line after a body is usual and begins no head. */
    private static final int EMPTY_LINE_BYTES = 2;

    private final Supplier<HttpLimits> mLimits;
    private final HttpResources mResources;
    private final SharedMemory.Reservation mMemory;
    private boolean mReading;
    private boolean mRequestInProgress;
    private boolean mInBody;
    private boolean mFailed;
    // Bytes and cost of the head or the trailer that is being decoded.
    private long mSectionBytes;
    private long mSectionCost;
    private long mRequestCost;
    // The decoder keeps a buffer of the size of the longest line.
    private long mLongestLineBytes;
    private @Nullable LoopTimeout mHeadTimeout;

    RequestDecoder(HttpDecoderConfig config, Supplier<HttpLimits> limits, HttpResources resources) {
        super(config);
        mLimits = limits;
        mResources = resources;
        mMemory = resources.heads().reservation();
        setCumulator(RequestDecoder::cumulate);
    }

    /** Called with the messages that were decoded in one go. */
    void onDecoded(List<Object> messages) {}

    /**
     * Copies what is kept into a buffer of its own size: the buffers of reads are larger, and their
     * memory outside the heap is for all sockets.
     */
    private static ByteBuf cumulate(ByteBufAllocator allocator, ByteBuf kept, ByteBuf in) {
        try {
            if (kept.isReadable() && kept.refCnt() == 1 && !kept.isReadOnly()) {
                return kept.writeBytes(in);
            }
            ByteBuf copy = Unpooled.buffer(kept.readableBytes() + in.readableBytes());
            copy.writeBytes(kept).writeBytes(in);
            kept.release();
            return copy;
        } finally {
            in.release();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        mReading = true;
        try {
            super.channelRead(context, message);
        } finally {
            mReading = false;
        }
        afterRead(context);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        if (context.channel().config().isAutoRead()) {
            super.channelReadComplete(context);
        } else {
            // The library's decoder would read on, as it has decoded nothing.
            discardSomeReadBytes();
            context.fireChannelReadComplete();
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        if (mFailed) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (mRequestInProgress) {
            return;
        }
        int start = in.readerIndex();
        int size = out.size();
        super.decode(context, in, out);
        List<Object> decoded = out.subList(size, out.size());
        if (decoded.isEmpty() || decoded.get(0) instanceof HttpRequest) {
            countSection(in, start);
        }
        if (decoded.isEmpty()) {
            checkSection(context, in, out);
        } else {
            onMessages(context, in, out, size);
        }
        onDecoded(out.subList(size, out.size()));
    }

    private void countSection(ByteBuf in, int start) {
        int end = in.readerIndex();
        int lines = 0;
        int lineStart = start;
        for (int lf = in.indexOf(start, end, HttpConstants.LF);
                lf >= 0;
                lf = in.indexOf(lineStart, end, HttpConstants.LF)) {
            // Empty lines are skipped and not kept.
            lines += lf - lineStart >= MIN_LINE_BYTES ? 1 : 0;
            mLongestLineBytes = Math.max(mLongestLineBytes, lf - lineStart);
            lineStart = lf + 1;
        }
        mSectionBytes += end - start;
        mSectionCost += end - start + (long) lines * LINE_COST_BYTES;
    }

    /** Refuses a head or a trailer that is too long or does not fit into the memory. */
    private void checkSection(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        int undecoded = in.readableBytes();
        if (mSectionBytes + undecoded > mLimits.get().maxHeadWireBytes()) {
            fail(context, in, out, ConnectionRefusal.HEAD_TOO_LARGE);
        } else if (!mMemory.growTo(keptBytes() + undecoded)) {
            fail(context, in, out, ConnectionRefusal.HEAD_MEMORY_FULL);
        }
    }

    private long keptBytes() {
        return mRequestCost + mSectionCost + mLongestLineBytes;
    }

    private void onMessages(
            ChannelHandlerContext context, ByteBuf in, List<Object> out, int first) {
        List<Object> decoded = out.subList(first, out.size());
        mFailed =
                decoded.stream()
                        .anyMatch(
                                message ->
                                        message instanceof HttpObject part
                                                && part.decoderResult().isFailure());
        if (mFailed) {
            return;
        }
        boolean headEnded = decoded.get(0) instanceof HttpRequest;
        mRequestCost += headEnded ? mSectionCost : 0;
        mSectionBytes = 0;
        mSectionCost = 0;
        if (headEnded) {
            mInBody = true;
            if (!mMemory.growTo(keptBytes())) {
                out.subList(first, out.size()).clear();
                fail(context, in, out, ConnectionRefusal.HEAD_MEMORY_FULL);
                return;
            }
        }
        if (out.get(out.size() - 1) instanceof LastHttpContent) {
            mInBody = false;
            mRequestInProgress = true;
        }
    }

    private void fail(
            ChannelHandlerContext context,
            ByteBuf in,
            List<Object> out,
            ConnectionRefusal refusal) {
        in.skipBytes(in.readableBytes());
        out.add(failed(context, refusal));
    }

    private HttpRequest failed(ChannelHandlerContext context, ConnectionRefusal refusal) {
        mFailed = true;
        mResources.record(refusal, context.channel());
        HttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER);
        request.setDecoderResult(DecoderResult.failure(new RequestRefusedException(refusal)));
        return request;
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        if (!mRequestInProgress && !mFailed) {
            super.decodeLast(context, in, out);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (event == RequestEnd.INSTANCE && mRequestInProgress) {
            mRequestInProgress = false;
            mRequestCost = 0;
            if (!mReading) {
                // Decodes what is there; an empty buffer adds nothing to it.
                channelRead(context, Unpooled.EMPTY_BUFFER);
            }
        }
        super.userEventTriggered(context, event);
    }

    private void afterRead(ChannelHandlerContext context) throws Exception {
        int undecoded = actualReadableBytes();
        if (mFailed || !context.channel().isActive()) {
            cancelHeadTimeout();
            // What follows is dropped. Unread bytes would reset the connection at its close, and
            // the client might not receive the refusal.
            context.channel().config().setAutoRead(true);
            return;
        }
        if (!mMemory.resizeTo(keptBytes() + undecoded)) {
            onReadAheadTooLarge(context);
            return;
        }
        boolean pause = mRequestInProgress && undecoded >= MAX_READ_AHEAD_BYTES;
        context.channel().config().setAutoRead(!pause);
        boolean inHead = !mRequestInProgress && !mInBody;
        if (inHead && (undecoded > 0 || mSectionBytes > EMPTY_LINE_BYTES)) {
            startHeadTimeout(context);
        } else {
            cancelHeadTimeout();
        }
    }

    /**
     * Drops what does not fit, and ends the connection once the request in progress is answered.
     */
    private void onReadAheadTooLarge(ChannelHandlerContext context) throws Exception {
        mFailed = true;
        mResources.record(ConnectionRefusal.PIPELINE_MEMORY_FULL, context.channel());
        // Decoding skips the bytes now.
        super.channelRead(context, Unpooled.EMPTY_BUFFER);
        mMemory.resizeTo(keptBytes());
        cancelHeadTimeout();
        context.channel().config().setAutoRead(true);
        context.fireUserEventTriggered(CloseAfterResponse.INSTANCE);
    }

    /** Returns whether a head has begun and not ended; its own time-out covers it. */
    boolean headBegun() {
        return mHeadTimeout != null;
    }

    private void startHeadTimeout(ChannelHandlerContext context) {
        if (mHeadTimeout == null) {
            mHeadTimeout =
                    LoopTimeout.startWithLimit(
                            context.executor(),
                            () -> onHeadTimeout(context),
                            () -> mLimits.get().headMillis());
        }
    }

    private void cancelHeadTimeout() {
        if (mHeadTimeout != null) {
            mHeadTimeout.cancel();
            mHeadTimeout = null;
        }
    }

    private void onHeadTimeout(ChannelHandlerContext context) {
        HttpRequest request = failed(context, ConnectionRefusal.HEAD_TIMEOUT);
        onDecoded(List.of(request));
        context.fireChannelRead(request);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        cancelHeadTimeout();
        super.channelInactive(context);
        mMemory.release();
    }
}
