package io.rhubarbward.net.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.rhubarbward.request.ConnectionRefusal;
import io.rhubarbward.timer.TimerService;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

/**
 * An HTTP/1.1 server on one address.
 *
 * <pre>{@code
 * HttpListener listener =
 *         HttpListener.open(group, new InetSocketAddress(8080), timers, limits, handler);
 * }</pre>
 *
 * <p>Handlers run on the timer service's thread, socket I/O on Netty's threads. The limits are read
 * for each request, except that a head is read up to {@link #MIN_READABLE_HEAD_BYTES}, or the limit
 * at the time when the connection was accepted if that is larger.
 */
public final class HttpListener implements AutoCloseable {
    /** Accept backlog, large enough that a burst of connections loses no SYN packets. */
    private static final int MAX_PENDING_CONNECTIONS = 1024;

    /** Value for a listener without a bound on its connections. */
    public static final int UNBOUNDED = Integer.MAX_VALUE;

    /** Reads from one connection in one iteration of the event loop: Netty's default. */
    private static final int MAX_READS = 16;

    /** Sizes of the buffer of one read: the smallest, the first, and the largest. */
    private static final int MIN_READ_BYTES = 64;

    private static final int FIRST_READ_BYTES = 2048;
    private static final int MAX_READ_BYTES = 16_384;

    /** Pending bytes at which a response's source is asked to pause, and to go on. */
    static final int HIGH_WATERMARK_BYTES = 32_768;

    /**
     * Bytes of a response that the kernel takes. With its default of megabytes, a client that reads
     * slowly but steadily seems to read nothing for longer than the idle time.
     */
    private static final int SEND_BUFFER_BYTES = 131_072;

    static final int LOW_WATERMARK_BYTES = 16_384;

    /**
     * Size up to which heads are read whatever their limit, so that it can be raised on an open
     * connection: the library's decoder has one limit for good.
     */
    static final int MIN_READABLE_HEAD_BYTES = 65_536;

    private final Channel mServerChannel;
    private final ChannelGroup mConnections;
    private final AtomicBoolean mKeepAliveDisabled;
    private final HttpResources mResources;

    private HttpListener(
            Channel serverChannel,
            ChannelGroup connections,
            AtomicBoolean keepAliveDisabled,
            HttpResources resources) {
        mServerChannel = serverChannel;
        mConnections = connections;
        mKeepAliveDisabled = keepAliveDisabled;
        mResources = resources;
    }

    /** Opens a listener with a memory for bodies of its own; port 0 binds to a free port. */
    public static HttpListener open(
            EventLoopGroup group,
            InetSocketAddress address,
            TimerService timers,
            Supplier<HttpLimits> limits,
            HttpHandler handler) {
        return open(group, address, timers, limits, RequestBodyMemory.ofHeap(), handler);
    }

    /** Opens a listener whose requests share the memory for bodies with other listeners. */
    public static HttpListener open(
            EventLoopGroup group,
            InetSocketAddress address,
            TimerService timers,
            Supplier<HttpLimits> limits,
            RequestBodyMemory bodyMemory,
            HttpHandler handler) {
        return open(
                group,
                bind(address),
                timers,
                limits,
                HttpResources.ofHeap(bodyMemory),
                UNBOUNDED,
                handler);
    }

    /**
     * Opens a listener that shares its resources with other listeners.
     *
     * @param maxConnections further connections are closed at once
     */
    public static HttpListener open(
            EventLoopGroup group,
            InetSocketAddress address,
            TimerService timers,
            Supplier<HttpLimits> limits,
            HttpResources resources,
            int maxConnections,
            HttpHandler handler) {
        return open(group, bind(address), timers, limits, resources, maxConnections, handler);
    }

    /** Binds a socket; connections wait in its backlog until a listener is opened on it. */
    public static ServerSocketChannel bind(InetSocketAddress address) {
        try {
            ServerSocketChannel socket = ServerSocketChannel.open();
            socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            return socket.bind(address, MAX_PENDING_CONNECTIONS);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen at " + address, e);
        }
    }

    /**
     * Opens a listener on a socket that is already bound.
     *
     * @param maxConnections further connections are closed at once
     */
    public static HttpListener open(
            EventLoopGroup group,
            ServerSocketChannel socket,
            TimerService timers,
            Supplier<HttpLimits> limits,
            HttpResources resources,
            int maxConnections,
            HttpHandler handler) {
        ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        AtomicBoolean keepAliveDisabled = new AtomicBoolean();
        Channel serverChannel =
                new ServerBootstrap()
                        .group(group)
                        .channelFactory(() -> new NioServerSocketChannel(socket))
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.SO_KEEPALIVE, true)
                        .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                        // Reads until the socket is empty, so that a close is seen with the
                        // request that it follows.
                        .childOption(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new AdaptiveRecvByteBufAllocator(
                                                MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                                        .respectMaybeMoreData(false)
                                        .maxMessagesPerRead(MAX_READS))
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(LOW_WATERMARK_BYTES, HIGH_WATERMARK_BYTES))
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        if (connections.size() >= maxConnections) {
                                            resources.close(
                                                    channel,
                                                    ConnectionRefusal.TOO_MANY_CONNECTIONS);
                                            return;
                                        }
                                        connections.add(channel);
                                        channel.pipeline()
                                                .addLast(
                                                        new PendingResponseGuard(limits, resources))
                                                .addLast(codec(limits, resources))
                                                .addLast(
                                                        new CallerConnection(
                                                                timers,
                                                                limits,
                                                                resources,
                                                                handler,
                                                                keepAliveDisabled::get));
                                    }
                                })
                        .register()
                        .channel();
        return new HttpListener(serverChannel, connections, keepAliveDisabled, resources);
    }

    private static ListenerCodec codec(Supplier<HttpLimits> limits, HttpResources resources) {
        int readableBytes = Math.max(MIN_READABLE_HEAD_BYTES, limits.get().maxHeadBytes());
        return new ListenerCodec(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(readableBytes)
                        .setMaxHeaderSize(readableBytes),
                limits,
                resources);
    }

    /** Returns the address that the listener is bound to. */
    public InetSocketAddress address() {
        return (InetSocketAddress) mServerChannel.localAddress();
    }

    /** Returns the port that the listener is bound to. */
    public int port() {
        return address().getPort();
    }

    /** Closes each connection after the next response that begins on it. */
    public void disableKeepAlive() {
        mKeepAliveDisabled.set(true);
    }

    /** Closes the connections on which no request is in progress. */
    public void closeIdleConnections() {
        mConnections.forEach(
                channel -> {
                    CallerConnection connection = channel.pipeline().get(CallerConnection.class);
                    if (connection != null) {
                        channel.eventLoop().execute(() -> connection.closeIfIdle(channel));
                    }
                });
    }

    /** Closes the listening socket and all connections, also those with a request in progress. */
    @Override
    public void close() {
        mServerChannel.close().syncUninterruptibly();
        mConnections.forEach(
                channel -> channel.eventLoop().execute(() -> closeIfRequestInProgress(channel)));
        mConnections.close().syncUninterruptibly();
    }

    private void closeIfRequestInProgress(Channel channel) {
        CallerConnection connection = channel.pipeline().get(CallerConnection.class);
        if (connection != null && connection.requestInProgress()) {
            mResources.close(channel, ConnectionRefusal.LISTENER_CLOSED);
        }
    }
}
