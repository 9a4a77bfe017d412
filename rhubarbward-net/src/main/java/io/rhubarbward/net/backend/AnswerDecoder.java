package io.rhubarbward.net.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;
import org.asynchttpclient.AsyncHttpClientConfig;

/** Decodes responses, and tells whether the beginning of one is waiting for the rest. */
final class AnswerDecoder extends HttpResponseDecoder {
    private boolean mAnswersHead;

    /** Whether a status line was read, and not yet the end of its head. */
    private boolean mHeadBegun;

    AnswerDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Creates a decoder with the client's limits. */
    static AnswerDecoder of(AsyncHttpClientConfig config) {
        return new AnswerDecoder(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(config.getHttpClientCodecMaxInitialLineLength())
                        .setMaxHeaderSize(config.getHttpClientCodecMaxHeaderSize())
                        .setMaxChunkSize(config.getHttpClientCodecMaxChunkSize())
                        .setInitialBufferSize(config.getHttpClientCodecInitialBufferSize())
                        .setValidateHeaders(config.isValidateResponseHeaders()));
    }

    /** Returns a codec of requests and of the responses that this decodes. */
    CombinedChannelDuplexHandler<AnswerDecoder, HttpRequestEncoder> codec() {
        return new CombinedChannelDuplexHandler<>(this, new HttpRequestEncoder());
    }

    /** Notes that a request was sent; a response to {@code HEAD} has no body. */
    void expectAnswerTo(HttpMethod method) {
        mAnswersHead = method.equals(HttpMethod.HEAD);
    }

    /** Returns whether bytes were read that do not belong to the responses decoded so far. */
    boolean hasUndecodedBytes() {
        return mHeadBegun || actualReadableBytes() > 0;
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        mHeadBegun = true;
        return super.createMessage(statusLine);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages)
            throws Exception {
        super.decode(context, bytes, messages);
        if (!messages.isEmpty()) {
            mHeadBegun = false;
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return mAnswersHead || super.isContentAlwaysEmpty(message);
    }
}
