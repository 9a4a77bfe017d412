package io.rhubarbward.net.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.membership.PeerMessage;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.timer.TimerService;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.IntSupplier;

/**
 * Carries messages between routers as Thrift structs in length-prefixed frames.
 *
 * <p>One outgoing connection a peer, opened when it is first needed. A message for a peer whose
 * connection is not open, or does not take more for now, is dropped.
 */
public final class ThriftPeerTransport implements PeerTransport, AutoCloseable {
    private static final int MAX_FRAME_BYTES = 2_000_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    private final String mOwnVm;
    private final EventLoopGroup mGroup;
    private final TimerService mTimers;
    private final EventLog mEvents;
    private final Counter mBytes;
    private final Channel mServer;
    private final ChannelGroup mConnections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final PeerFrameCodec mFrames = new PeerFrameCodec();
    private final ControlBudget mBudget;
    private volatile IntSupplier mBytesPerSecond = () -> 0;
    // Touched on the timer service's thread only.
    private final Map<Class<?>, List<BiConsumer<String, PeerMessage>>> mHandlers = new HashMap<>();
    private final Map<String, ChannelFuture> mOutgoing = new HashMap<>();

    /** Listens at the address; port 0 takes a free one. */
    public ThriftPeerTransport(
            String ownVm,
            InetSocketAddress address,
            EventLoopGroup group,
            TimerService timers,
            EventLog events,
            PrometheusRegistry metrics) {
        mOwnVm = ownVm;
        mGroup = group;
        mTimers = timers;
        mEvents = events;
        mBytes =
                Counter.builder()
                        .name("rhubarbward_peer_bytes_total")
                        .help("Bytes sent to and received from peers, by kind of message.")
                        .labelNames("direction", "kind")
                        .register(metrics);
        mBudget = new ControlBudget(() -> mBytesPerSecond.getAsInt(), timers, events, metrics);
        mServer = listen(address);
    }

    /** Holds the traffic against the budget, in bytes a second; 0 while it is not known. */
    public void budget(IntSupplier bytesPerSecond) {
        mBytesPerSecond = bytesPerSecond;
    }

    private Channel listen(InetSocketAddress address) {
        return new ServerBootstrap()
                .group(mGroup)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer())
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    private ChannelInitializer<SocketChannel> initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                mConnections.add(channel);
                channel.pipeline()
                        .addLast(
                                new LengthFieldBasedFrameDecoder(
                                        MAX_FRAME_BYTES,
                                        0,
                                        PeerFrameCodec.LENGTH_BYTES,
                                        0,
                                        PeerFrameCodec.LENGTH_BYTES))
                        .addLast(new LengthFieldPrepender(PeerFrameCodec.LENGTH_BYTES))
                        .addLast(new Receiver());
            }
        };
    }

    /** Returns the port in use. */
    public int port() {
        return ((InetSocketAddress) mServer.localAddress()).getPort();
    }

    @Override
    public <M extends PeerMessage> void subscribe(Class<M> type, BiConsumer<String, M> handler) {
        mHandlers
                .computeIfAbsent(type, key -> new ArrayList<>())
                .add((sender, message) -> handler.accept(sender, type.cast(message)));
    }

    @Override
    public void send(Peer to, PeerMessage message) {
        ChannelFuture known = mOutgoing.get(to.vm());
        ChannelFuture connecting = known == null ? connect(to) : known;
        mOutgoing.put(to.vm(), connecting);
        // A new connection takes its first frame whatever comes, so the name is never dropped
        // alone.
        byte[] frame = frame(Optional.of(mOwnVm).filter(vm -> known == null), message);
        connecting.addListener(
                (ChannelFutureListener)
                        connected -> {
                            Channel channel = connected.channel();
                            if (connected.isSuccess() && channel.isWritable()) {
                                channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
                            }
                        });
    }

    @Override
    public void reconnect(Peer to) {
        ChannelFuture known = mOutgoing.remove(to.vm());
        if (known != null) {
            known.channel().close();
        }
    }

    private ChannelFuture connect(Peer to) {
        java.net.URI address = java.net.URI.create("peer://" + to.address());
        ChannelFuture connecting =
                new Bootstrap()
                        .group(mGroup)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .handler(initializer())
                        .connect(address.getHost(), address.getPort());
        connecting
                .channel()
                .closeFuture()
                .addListener(closed -> mTimers.execute(() -> forget(to, connecting)));
        return connecting;
    }

    private void forget(Peer to, ChannelFuture connecting) {
        if (mOutgoing.remove(to.vm(), connecting)) {
            mEvents.log(LogEvent.PEER_UNREACHABLE, EventField.of("vm", to.vm()));
        }
    }

    private byte[] frame(Optional<String> sender, PeerMessage message) {
        byte[] frame = mFrames.encode(sender, message);
        count("sent", message, frame.length);
        return frame;
    }

    private void receive(Receiver connection, byte[] frame) {
        mFrames.decode(frame)
                .peek(
                        received ->
                                received.forEach(
                                        message -> deliver(connection, message, frame.length)))
                .peekLeft(e -> mEvents.log(LogEvent.PEER_MESSAGE_UNREADABLE, e));
    }

    private void deliver(Receiver connection, PeerFrameCodec.Received received, int frameBytes) {
        count("received", received.message(), frameBytes);
        String sender = received.sender().orElse(connection.mSender);
        connection.mSender = sender;
        mHandlers
                .getOrDefault(received.message().getClass(), List.of())
                .forEach(handler -> handler.accept(sender, received.message()));
    }

    private void count(String direction, PeerMessage message, int frameBytes) {
        int bytes = frameBytes + PeerFrameCodec.LENGTH_BYTES;
        mBytes.labelValues(direction, message.getClass().getSimpleName()).inc(bytes);
        mBudget.spend(bytes);
    }

    @Override
    public void close() {
        mServer.close().syncUninterruptibly();
        mConnections.close().syncUninterruptibly();
    }

    private final class Receiver extends SimpleChannelInboundHandler<ByteBuf> {
        // Touched on the timer service's thread only; nobody until the peer has said its name.
        private String mSender = "";

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            byte[] bytes = ByteBufUtil.getBytes(frame);
            mTimers.execute(() -> receive(this, bytes));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // The connection is opened anew when the next message needs it.
            context.close();
        }
    }
}
