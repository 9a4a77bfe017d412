package io.rhubarbward.net.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.request.ConnectionRefusal;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.timer.VirtualTimerService;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Connections of a listener without sockets, in virtual time; the test holds the responses. */
class EmbeddedListener {
    static final int HEAD_MILLIS = 3000;
    static final int IDLE_MILLIS = 15_000;
    static final HttpLimits LIMITS =
            new HttpLimits(1024, 100_000, 10_000, IDLE_MILLIS, HEAD_MILLIS);
    static final int SMALL_HEAD_BYTES = 2048;
    static final int MAX_LARGE_BYTES = 40_000;
    static final int MAX_PENDING_BYTES = 50_000;
    static final String REQUEST = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n";

    final List<ConnectionRefusal> mRefusals = new ArrayList<>();
    final List<ConnectionState> mRefusedStates = new ArrayList<>();
    final HttpResources mResources =
            new HttpResources(
                    RequestBodyMemory.ofHeap(),
                    new SharedMemory(
                            SMALL_HEAD_BYTES,
                            MAX_LARGE_BYTES,
                            MAX_LARGE_BYTES + 2 * SMALL_HEAD_BYTES),
                    new SharedMemory(1000, MAX_PENDING_BYTES, MAX_PENDING_BYTES),
                    this::record);
    final VirtualTimerService mTimers = new VirtualTimerService();
    final List<CallerRequest> mRequests = new ArrayList<>();
    final List<CallerResponse> mResponses = new ArrayList<>();

    HttpLimits mLimits = LIMITS;
    boolean mClientReadsNothing;

    private void record(ConnectionRefusal refusal, ConnectionState connection) {
        mRefusals.add(refusal);
        mRefusedStates.add(connection);
    }

    EmbeddedChannel connect() {
        EmbeddedChannel channel =
                new EmbeddedChannel(
                        new ActionRunner(),
                        new PendingResponseGuard(() -> mLimits, mResources),
                        new ListenerCodec(
                                new HttpDecoderConfig()
                                        .setMaxInitialLineLength(65_536)
                                        .setMaxHeaderSize(65_536),
                                () -> mLimits,
                                mResources),
                        new CallerConnection(
                                mTimers, () -> mLimits, mResources, this::hold, () -> false)) {
                    @Override
                    protected void doWrite(ChannelOutboundBuffer pending) throws Exception {
                        if (!mClientReadsNothing) {
                            super.doWrite(pending);
                        }
                    }
                };
        channel.freezeTime();
        return channel;
    }

    CallerListener hold(CallerRequest request, CallerResponse response) {
        mRequests.add(request);
        mResponses.add(response);
        return JsonResponses.NO_OP_LISTENER;
    }

    void send(EmbeddedChannel channel, String bytes) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
        run(channel);
    }

    void run(EmbeddedChannel channel) {
        channel.runPendingTasks();
        mTimers.runDue();
        channel.runPendingTasks();
    }

    void answer(EmbeddedChannel channel, int index) {
        onEventLoop(channel, () -> JsonResponses.send(mResponses.get(index), 200, Map.of()));
    }

    /** Sends the head and the first 100 bytes of a response. */
    void begin(EmbeddedChannel channel, int index) {
        onEventLoop(
                channel,
                () -> {
                    mResponses.get(index).begin(200, HeaderFields.of("a", "b"));
                    mResponses.get(index).write(ByteBuffer.allocate(100));
                });
    }

    /** Sends the end of a response that has begun. */
    void finish(EmbeddedChannel channel, int index) {
        onEventLoop(channel, mResponses.get(index)::finish);
    }

    /**
     * Runs the action and then what it scheduled, like the event loop of a socket. Called directly,
     * each write of the action would run the tasks that are due.
     */
    void onEventLoop(EmbeddedChannel channel, Runnable action) {
        channel.writeInbound(action);
        run(channel);
    }

    private static final class ActionRunner extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof Runnable action) {
                action.run();
            } else {
                context.fireChannelRead(message);
            }
        }
    }

    static String received(EmbeddedChannel channel) {
        StringBuilder received = new StringBuilder();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            received.append(part.toString(StandardCharsets.ISO_8859_1));
            part.release();
        }
        return received.toString();
    }

    /** Lets the time pass, and one more iteration of the event loop. */
    void advance(EmbeddedChannel channel, long millis) {
        standStill(channel, millis);
        standStill(channel, 1);
        run(channel);
    }

    /** Lets the time pass while nothing is read, as in a process that is stopped and goes on. */
    void standStill(EmbeddedChannel channel, long millis) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }
}
