package io.rhubarbward.standin.fleet;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;

/**
 * A simulated replica whose behaviour decides which bytes its connections carry, for faults that an
 * HTTP server does not show. It serves a request with a longer body than it accepts once it has the
 * head, and reads no more of that connection.
 *
 * <pre>{@code
 * ScriptedReplica replica = new ScriptedReplica(group, address, request -> request.run(200));
 * store.put("servers", "i-1", replica.serverSpec("orders", "a"));
 * }</pre>
 */
public final class ScriptedReplica implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 1_048_576;

    /** Small, so that a long body cannot be written whole while the replica does not read it. */
    private static final int RECEIVE_BUFFER_BYTES = 16_384;

    private final ChannelGroup mConnections =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private final ReplicaRecord mRecord = new ReplicaRecord();
    private final Channel mListener;
    private final int mPort;

    /** Decides how the replica serves its requests. */
    @FunctionalInterface
    public interface Behaviour {
        /** Serves a request; called on the thread of its connection. */
        void serve(ReplicaRequest request);
    }

    /**
     * Starts to listen on the address; port 0 selects a free port.
     *
     * @param group has one thread, on which the behaviour is called
     */
    public ScriptedReplica(EventLoopGroup group, InetSocketAddress address, Behaviour behaviour) {
        mListener =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        accept(channel, behaviour);
                                    }
                                })
                        .bind(address)
                        .syncUninterruptibly()
                        .channel();
        mPort = ((InetSocketAddress) mListener.localAddress()).getPort();
    }

    private void accept(Channel channel, Behaviour behaviour) {
        mConnections.add(channel);
        channel.pipeline()
                .addLast(
                        new HttpRequestDecoder(),
                        new UnreadBodies(MAX_BODY_BYTES),
                        new HttpObjectAggregator(MAX_BODY_BYTES),
                        new ReplicaConnection(channel, mRecord, behaviour));
    }

    /** Returns the address to connect to, as {@code host:port}. */
    public String address() {
        return "127.0.0.1:" + mPort;
    }

    /** Returns the spec, as JSON, of a server object in the store with the replica's address. */
    public String serverSpec(String service, String zone) {
        return ReplicaStandin.serverSpec(service, address(), zone);
    }

    /** Returns what the replica got and did. */
    public ReplicaRecord record() {
        return mRecord;
    }

    @Override
    public void close() {
        mListener.close().syncUninterruptibly();
        mConnections.close().awaitUninterruptibly();
    }
}
