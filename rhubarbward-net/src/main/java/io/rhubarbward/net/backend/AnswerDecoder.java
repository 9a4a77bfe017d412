package io.rhubarbward.net.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;
import java.util.regex.Pattern;
import org.asynchttpclient.AsyncHttpClientConfig;

/**
 * Decodes responses, and tells whether the beginning of one is waiting for the rest and how the
 * input ended.
 *
 * <p>A status line whose status is not one of 100 to 599, or is 101, is a decoding failure. No
 * request here asks for another protocol, so that 101 is no answer to it.
 */
final class AnswerDecoder extends HttpResponseDecoder {
    /** {@link Integer#parseInt}, which the superclass uses, accepts any number of digits. */
    private static final Pattern VALID_STATUS = Pattern.compile("[1-5][0-9]{2}");

    private static final String SWITCHING_PROTOCOLS = "101";

    /** How the input of the connection ended. */
    enum InputEnd {
        /** The input has not ended. */
        NONE,
        /** The server ended the connection's input in an orderly way. */
        ORDERLY,
        /** The connection was closed here or lost. */
        CLOSED
    }

    private InputEnd mInputEnd = InputEnd.NONE;
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

    /**
     * Returns how the input ended. A message that is decoded after the end is delimited by it: by
     * its rules, the superclass takes any close for the end of a body without a length.
     */
    InputEnd inputEnd() {
        return mInputEnd;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (event instanceof ChannelInputShutdownEvent) {
            mInputEnd = InputEnd.ORDERLY;
        }
        super.userEventTriggered(context, event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        if (mInputEnd == InputEnd.NONE) {
            mInputEnd = InputEnd.CLOSED;
        }
        super.channelInactive(context);
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        mHeadBegun = true;
        String status = statusLine[1];
        if (!VALID_STATUS.matcher(status).matches() || status.equals(SWITCHING_PROTOCOLS)) {
            throw new InvalidStatusException(status);
        }
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
