package io.rhubarbward.net.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.rhubarbward.timer.TimerService;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/**
 * A listening HTTP server.
 *
 * <pre>{@code
 * HttpListener listener =
 *         HttpListener.open(group, new InetSocketAddress(8080), timers, limits, handler);
 * }</pre>
 *
 * <p>Handlers run on the timer service's thread; sockets stay on Netty's.
 */
public final class HttpListener implements AutoCloseable {
    private final Channel mServer;
    private final ChannelGroup mConnections;

    private HttpListener(Channel server, ChannelGroup connections) {
        mServer = server;
        mConnections = connections;
    }

    /** Opens a listener; port 0 takes a free one. */
    public static HttpListener open(
            EventLoopGroup group,
            InetSocketAddress address,
            TimerService timers,
            Supplier<HttpLimits> limits,
            HttpHandler handler) {
        ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        Channel server =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(initializer(connections, timers, limits, handler))
                        .bind(address)
                        .syncUninterruptibly()
                        .channel();
        return new HttpListener(server, connections);
    }

    private static ChannelInitializer<SocketChannel> initializer(
            ChannelGroup connections,
            TimerService timers,
            Supplier<HttpLimits> limits,
            HttpHandler handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                connections.add(channel);
                HttpLimits now = limits.get();
                HttpDecoderConfig decoder =
                        new HttpDecoderConfig()
                                .setMaxInitialLineLength(now.maxHeadBytes())
                                .setMaxHeaderSize(now.maxHeadBytes());
                channel.pipeline()
                        .addLast(new HttpServerCodec(decoder))
                        .addLast(new CallerConnection(timers, now, handler));
            }
        };
    }

    /** Returns the address in use. */
    public InetSocketAddress address() {
        return (InetSocketAddress) mServer.localAddress();
    }

    /** Returns the port in use. */
    public int port() {
        return address().getPort();
    }

    /** Closes the listener and every connection. */
    @Override
    public void close() {
        mServer.close().syncUninterruptibly();
        mConnections.close().syncUninterruptibly();
    }
}
