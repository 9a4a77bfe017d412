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
import io.rhubarbward.gen.peer.Envelope;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.membership.PeerMessage;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.timer.TimerService;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/**
 * Carries messages between routers as Thrift structs in length-prefixed frames.
 *
 * <p>One outgoing connection a peer, opened when it is first needed. A message for a peer whose
 * connection is not open, or does not take more for now, is dropped.
 */
public final class ThriftPeerTransport implements PeerTransport, AutoCloseable {
    private static final int MAX_FRAME_BYTES = 2_000_000;
    private static final int LENGTH_BYTES = 4;
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    private final String mOwnVm;
    private final EventLoopGroup mGroup;
    private final TimerService mTimers;
    private final EventLog mEvents;
    private final Counter mBytes;
    private final Channel mServer;
    private final ChannelGroup mConnections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Map<Class<?>, PeerCodec<?, ?>> mCodecsByType;
    private final Map<Integer, PeerCodec<?, ?>> mCodecsByKind;
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
        mCodecsByType =
                PeerCodecs.all().stream()
                        .collect(Collectors.toMap(PeerCodec::type, Function.identity()));
        mCodecsByKind =
                PeerCodecs.all().stream()
                        .collect(Collectors.toMap(PeerCodec::kind, Function.identity()));
        mBytes =
                Counter.builder()
                        .name("rhubarbward_peer_bytes_total")
                        .help("Bytes sent to and received from peers, by kind of message.")
                        .labelNames("direction", "kind")
                        .register(metrics);
        mServer = listen(address);
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
                                        MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
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
        ChannelFuture connecting = mOutgoing.get(to.vm());
        if (connecting == null) {
            connecting = connect(to);
            mOutgoing.put(to.vm(), connecting);
        }
        byte[] frame = frame(message);
        connecting.addListener(
                (ChannelFutureListener)
                        connected -> {
                            Channel channel = connected.channel();
                            if (connected.isSuccess() && channel.isWritable()) {
                                channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
                            }
                        });
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

    private byte[] frame(PeerMessage message) {
        PeerCodec<?, ?> codec = mCodecsByType.get(message.getClass());
        if (codec == null) {
            throw new IllegalArgumentException(message.getClass() + ": expected one with a codec");
        }
        try {
            Envelope envelope =
                    new Envelope(mOwnVm, codec.kind(), ByteBuffer.wrap(codec.encode(message)));
            byte[] frame = new TSerializer(new TCompactProtocol.Factory()).serialize(envelope);
            count("sent", codec, frame.length);
            return frame;
        } catch (TException e) {
            throw new IllegalArgumentException(message + ": expected a serializable message", e);
        }
    }

    private void receive(byte[] frame) {
        Envelope envelope = new Envelope();
        try {
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(envelope, frame);
        } catch (TException e) {
            mEvents.log(LogEvent.PEER_MESSAGE_UNREADABLE, e);
            return;
        }
        PeerCodec<?, ?> codec = mCodecsByKind.get(envelope.getKind());
        if (codec == null) {
            return;
        }
        count("received", codec, frame.length);
        codec.decode(envelope.getBody())
                .peek(message -> deliver(codec, envelope.getSender(), message))
                .peekLeft(e -> mEvents.log(LogEvent.PEER_MESSAGE_UNREADABLE, e));
    }

    private void deliver(PeerCodec<?, ?> codec, String sender, PeerMessage message) {
        mHandlers
                .getOrDefault(codec.type(), List.of())
                .forEach(handler -> handler.accept(sender, message));
    }

    private void count(String direction, PeerCodec<?, ?> codec, int frameBytes) {
        mBytes.labelValues(direction, codec.type().getSimpleName()).inc(frameBytes + LENGTH_BYTES);
    }

    @Override
    public void close() {
        mServer.close().syncUninterruptibly();
        mConnections.close().syncUninterruptibly();
    }

    private final class Receiver extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            byte[] bytes = ByteBufUtil.getBytes(frame);
            mTimers.execute(() -> receive(bytes));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // The connection is opened anew when the next message needs it.
            context.close();
        }
    }
}
