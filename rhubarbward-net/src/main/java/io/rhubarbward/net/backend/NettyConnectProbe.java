package io.rhubarbward.net.backend;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.rhubarbward.reach.ConnectProbe;
import io.rhubarbward.timer.TimerService;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.function.Consumer;

/** Probes addresses with TCP connections. */
public final class NettyConnectProbe implements ConnectProbe {
    private static final int NO_TIMEOUT = 0;

    private final EventLoopGroup mGroup;
    private final TimerService mTimers;

    /** Creates a probe that runs on the event loops of the group. */
    public NettyConnectProbe(EventLoopGroup group, TimerService timers) {
        mGroup = group;
        mTimers = timers;
    }

    @Override
    public void connect(String address, Duration timeout, Consumer<Boolean> onResult) {
        URI target = URI.create("probe://" + address);
        ChannelFuture connecting =
                new Bootstrap()
                        .group(mGroup)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, NO_TIMEOUT)
                        .handler(new ChannelInboundHandlerAdapter())
                        .connect(new InetSocketAddress(target.getHost(), target.getPort()));
        TimerService.Subscription limit =
                mTimers.afterReading(timeout, () -> connecting.channel().close());
        connecting.addListener(
                (ChannelFutureListener)
                        connected -> {
                            limit.cancel();
                            boolean success = connected.isSuccess();
                            connected.channel().close();
                            mTimers.execute(() -> onResult.accept(success));
                        });
    }
}
