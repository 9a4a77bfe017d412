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
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.membership.PeerMessage;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.net.http.HttpListener;
import io.rhubarbward.net.http.HttpResources;
import io.rhubarbward.net.http.SharedMemory;
import io.rhubarbward.request.ConnectionRefusal;
import io.rhubarbward.timer.TimerService;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;

/**
 * Carries messages between routers as Thrift structs in length-prefixed frames.
 *
 * <p>Each peer has one outgoing connection, which the first message opens. A message is dropped if
 * the connection fails or its write buffer is full.
 */
public final class ThriftPeerTransport implements PeerTransport, AutoCloseable {
    private static final int MAX_FRAME_BYTES = 2_000_000;

    /** Memory that a message takes up besides its bytes while it waits to be handled. */
    private static final int MESSAGE_COST_BYTES = 128;

    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final double NANOS_PER_SECOND = 1e9;

    /** When a message last arrived on an accepted connection, by the monotonic clock. */
    private static final AttributeKey<Long> HEARD_NANOS =
            AttributeKey.valueOf(ThriftPeerTransport.class, "heardNanos");

    private final String mOwnVm;
    private final EventLoopGroup mGroup;
    private final TimerService mTimers;
    private final EventLog mEvents;
    private final Counter mBytesCounter;
    private final Counter mHandlingSeconds;
    private final Channel mServerChannel;
    private final HttpResources mResources;
    private final int mMaxAccepted;
    private final ChannelGroup mAccepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final ChannelGroup mConnections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final PeerFrameCodec mFrameCodec = new PeerFrameCodec();
    private final PeerTrafficMonitor mTrafficMonitor;
    private volatile IntSupplier mBudgetBytesPerSecond = () -> 0;
    // Accessed on the timer service's thread only.
    private final Map<Class<?>, List<BiConsumer<String, PeerMessage>>> mHandlersByType =
            new HashMap<>();
    private final Map<String, ChannelFuture> mOutgoingByVm = new HashMap<>();

    /** Creates a transport that listens at the address; port 0 binds to a free port. */
    public ThriftPeerTransport(
            String ownVm,
            InetSocketAddress address,
            EventLoopGroup group,
            TimerService timers,
            EventLog events,
            PrometheusRegistry metrics) {
        this(
                ownVm,
                address,
                group,
                timers,
                events,
                metrics,
                HttpResources.ofHeap(),
                HttpListener.UNBOUNDED);
    }

    /**
     * Creates a transport that shares memory with the listeners of its process.
     *
     * @param maxAccepted the most connections of other routers; beyond it, the one that has been
     *     silent for longest is closed
     */
    public ThriftPeerTransport(
            String ownVm,
            InetSocketAddress address,
            EventLoopGroup group,
            TimerService timers,
            EventLog events,
            PrometheusRegistry metrics,
            HttpResources resources,
            int maxAccepted) {
        mResources = resources;
        mMaxAccepted = maxAccepted;
        mOwnVm = ownVm;
        mGroup = group;
        mTimers = timers;
        mEvents = events;
        mBytesCounter =
                Counter.builder()
                        .withoutExemplars()
                        .name("rhubarbward_peer_bytes_total")
                        .help("Bytes sent to and received from peers, by kind of message.")
                        .labelNames("direction", "kind")
                        .register(metrics);
        mHandlingSeconds =
                Counter.builder()
                        .withoutExemplars()
                        .name("rhubarbward_peer_handling_seconds_total")
                        .help("Time of the event loop for messages from peers, by kind.")
                        .labelNames("kind")
                        .register(metrics);
        mTrafficMonitor =
                new PeerTrafficMonitor(
                        () -> mBudgetBytesPerSecond.getAsInt(), timers, events, metrics);
        mServerChannel = listen(address);
    }

    /** Sets the budget for the traffic, in bytes per second; 0 while it is not known. */
    public void budget(IntSupplier bytesPerSecond) {
        mBudgetBytesPerSecond = bytesPerSecond;
    }

    private Channel listen(InetSocketAddress address) {
        return new ServerBootstrap()
                .group(mGroup)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Finds connections of lost VMs, which would take a place for good.
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                accept(channel);
                            }
                        })
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Accepts a connection. At the bound, the one that has been silent for longest is closed:
     * routers send often, so that silent strangers do not keep them out.
     */
    private void accept(SocketChannel channel) {
        if (mAccepted.size() >= mMaxAccepted) {
            mAccepted.stream()
                    .min(Comparator.comparingLong(ThriftPeerTransport::heardNanos))
                    .ifPresent(
                            silent ->
                                    mResources.close(
                                            silent, ConnectionRefusal.TOO_MANY_CONNECTIONS));
        }
        channel.attr(HEARD_NANOS).set(System.nanoTime());
        mAccepted.add(channel);
        initialize(channel);
    }

    private static long heardNanos(Channel channel) {
        return Objects.requireNonNullElse(channel.attr(HEARD_NANOS).get(), Long.MIN_VALUE);
    }

    private void initialize(SocketChannel channel) {
        mConnections.add(channel);
        channel.pipeline()
                .addLast(new FrameDecoder())
                .addLast(new LengthFieldPrepender(PeerFrameCodec.LENGTH_BYTES))
                .addLast(new Receiver());
    }

    private ChannelInitializer<SocketChannel> initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                initialize(channel);
            }
        };
    }

    /** Returns the port that the transport is bound to. */
    public int port() {
        return ((InetSocketAddress) mServerChannel.localAddress()).getPort();
    }

    @Override
    public <M extends PeerMessage> void subscribe(Class<M> type, BiConsumer<String, M> handler) {
        mHandlersByType
                .computeIfAbsent(type, key -> new ArrayList<>())
                .add((sender, message) -> handler.accept(sender, type.cast(message)));
    }

    @Override
    public void send(Peer to, PeerMessage message) {
        ChannelFuture existing = mOutgoingByVm.get(to.vm());
        ChannelFuture connecting = existing == null ? connect(to) : existing;
        mOutgoingByVm.put(to.vm(), connecting);
        // The first frame names the sender. It is not dropped on a connection that takes later
        // frames, because a new channel is writable.
        byte[] frame = encode(Optional.of(mOwnVm).filter(vm -> existing == null), message);
        write(connecting, frame);
    }

    @Override
    public void sendToAll(Collection<Peer> receivers, PeerMessage message) {
        Map<Boolean, List<Peer>> byConnected =
                receivers.stream()
                        .collect(
                                Collectors.partitioningBy(
                                        peer -> mOutgoingByVm.containsKey(peer.vm())));
        byConnected.getOrDefault(false, List.of()).forEach(peer -> send(peer, message));
        List<ChannelFuture> connected =
                byConnected.getOrDefault(true, List.of()).stream()
                        .map(peer -> mOutgoingByVm.get(peer.vm()))
                        .filter(Objects::nonNull)
                        .toList();
        if (!connected.isEmpty()) {
            byte[] frame = mFrameCodec.encode(Optional.empty(), message);
            connected.forEach(
                    connection -> {
                        count("sent", message, frame.length);
                        write(connection, frame);
                    });
        }
    }

    private static void write(ChannelFuture connecting, byte[] frame) {
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
        ChannelFuture existing = mOutgoingByVm.remove(to.vm());
        if (existing != null) {
            existing.channel().close();
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
                .addListener(closed -> mTimers.execute(() -> onOutgoingClosed(to, connecting)));
        return connecting;
    }

    private void onOutgoingClosed(Peer to, ChannelFuture connecting) {
        if (mOutgoingByVm.remove(to.vm(), connecting)) {
            mEvents.log(LogEvent.PEER_UNREACHABLE, EventField.of("vm", to.vm()));
        }
    }

    private byte[] encode(Optional<String> sender, PeerMessage message) {
        byte[] frame = mFrameCodec.encode(sender, message);
        count("sent", message, frame.length);
        return frame;
    }

    private void receive(Receiver connection, byte[] frame) {
        long startNanos = System.nanoTime();
        mFrameCodec
                .decode(frame)
                .peek(
                        received ->
                                received.forEach(
                                        message -> {
                                            deliver(connection, message, frame.length);
                                            recordTime(message, startNanos);
                                        }))
                .peekLeft(e -> mEvents.log(LogEvent.PEER_MESSAGE_UNREADABLE, e));
    }

    private void deliver(Receiver connection, PeerFrameCodec.Received received, int frameBytes) {
        count("received", received.message(), frameBytes);
        String sender = received.sender().orElse(connection.mSender);
        connection.mSender = sender;
        mHandlersByType
                .getOrDefault(received.message().getClass(), List.of())
                .forEach(handler -> handler.accept(sender, received.message()));
    }

    private void recordTime(PeerFrameCodec.Received received, long startNanos) {
        mHandlingSeconds
                .labelValues(kind(received.message()))
                .inc((System.nanoTime() - startNanos) / NANOS_PER_SECOND);
    }

    private void count(String direction, PeerMessage message, int frameBytes) {
        int bytes = frameBytes + PeerFrameCodec.LENGTH_BYTES;
        mBytesCounter.labelValues(direction, kind(message)).inc(bytes);
        mTrafficMonitor.recordBytes(bytes);
    }

    private static String kind(PeerMessage message) {
        return message.getClass().getSimpleName();
    }

    @Override
    public void close() {
        mServerChannel.close().syncUninterruptibly();
        mConnections.close().syncUninterruptibly();
    }

    private final class Receiver extends SimpleChannelInboundHandler<ByteBuf> {
        // Accessed on the timer service's thread only; empty until the first frame names the peer.
        private String mSender = "";

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            context.channel().attr(HEARD_NANOS).set(System.nanoTime());
            SharedMemory.Reservation memory = mResources.peerMessages().reservation();
            if (!memory.growTo(frame.readableBytes() + MESSAGE_COST_BYTES)) {
                refuse(context);
                return;
            }
            byte[] bytes = ByteBufUtil.getBytes(frame);
            mTimers.execute(
                    () -> {
                        memory.release();
                        receive(this, bytes);
                    });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // The next message to the peer opens a new connection.
            context.close();
        }
    }

    private void refuse(ChannelHandlerContext context) {
        mResources.close(context.channel(), ConnectionRefusal.PEER_MEMORY_FULL);
    }

    /** Splits frames, and closes a connection whose unfinished frame finds no memory. */
    private final class FrameDecoder extends LengthFieldBasedFrameDecoder {
        private final SharedMemory.Reservation mUnfinished =
                mResources.peerMessages().reservation();

        FrameDecoder() {
            super(MAX_FRAME_BYTES, 0, PeerFrameCodec.LENGTH_BYTES, 0, PeerFrameCodec.LENGTH_BYTES);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            super.channelRead(context, message);
            if (context.channel().isActive() && !mUnfinished.resizeTo(actualReadableBytes())) {
                refuse(context);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) throws Exception {
            super.channelInactive(context);
            mUnfinished.release();
        }
    }
}
