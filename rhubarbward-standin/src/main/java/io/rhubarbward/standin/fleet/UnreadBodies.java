package io.rhubarbward.standin.fleet;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;

/** Passes requests with long bodies on without them, and stops reading the connection. */
final class UnreadBodies extends ChannelInboundHandlerAdapter {
    private final long mMaxBodyBytes;
    private boolean mStopped;

    UnreadBodies(long maxBodyBytes) {
        mMaxBodyBytes = maxBodyBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mStopped) {
            ReferenceCountUtil.release(message);
        } else if (message instanceof HttpRequest head
                && HttpUtil.getContentLength(head, 0L) > mMaxBodyBytes) {
            mStopped = true;
            context.channel().config().setAutoRead(false);
            HttpUtil.setContentLength(head, 0);
            context.fireChannelRead(
                    new DefaultFullHttpRequest(
                            head.protocolVersion(),
                            head.method(),
                            head.uri(),
                            Unpooled.EMPTY_BUFFER,
                            head.headers(),
                            EmptyHttpHeaders.INSTANCE));
        } else {
            context.fireChannelRead(message);
        }
    }
}
