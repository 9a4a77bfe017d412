package io.rhubarbward.net.backend;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;

/**
 * Reads nothing while automatic reading is off, although the client library asks for the next read
 * after each one: a server is slowed down to the pace of the caller that its answer is passed to.
 */
final class PausableReads extends ChannelOutboundHandlerAdapter {
    @Override
    public void read(ChannelHandlerContext context) {
        if (context.channel().config().isAutoRead()) {
            context.read();
        }
    }
}
