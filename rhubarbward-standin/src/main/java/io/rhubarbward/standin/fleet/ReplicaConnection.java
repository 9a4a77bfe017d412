package io.rhubarbward.standin.fleet;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A connection of a {@link ScriptedReplica}; used on the thread of the connection only. */
public final class ReplicaConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Channel mChannel;
    private final ReplicaRecord mRecord;
    private final ScriptedReplica.Behaviour mBehaviour;
    private final List<ReplicaRefusal> mRefusals = new ArrayList<>();
    private String mAfterNextAnswer = "";

    ReplicaConnection(Channel channel, ReplicaRecord record, ScriptedReplica.Behaviour behaviour) {
        mChannel = channel;
        mRecord = record;
        mBehaviour = behaviour;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        String id = request.headers().get("Rhubarbward-Attempt-Id", "");
        boolean refusedHere = mRefusals.stream().anyMatch(past -> past.attemptId().equals(id));
        mBehaviour.serve(
                new ReplicaRequest(
                        id,
                        request.uri(),
                        request.headers().get("Rhubarbward-Expect-Instance", ""),
                        mRecord.countSend(id, refusedHere),
                        this));
    }

    /** Returns the refusals that this connection carried as answers, oldest first. */
    public List<ReplicaRefusal> refusals() {
        return List.copyOf(mRefusals);
    }

    ReplicaRecord record() {
        return mRecord;
    }

    void refuse(ReplicaRefusal refusal) {
        mRefusals.add(refusal);
        mRecord.countRefusal();
        answer(refusal.whole());
    }

    /** Writes an answer, and then what was left for that moment. */
    void answer(String bytes) {
        write(bytes + mAfterNextAnswer);
        mAfterNextAnswer = "";
    }

    /**
     * Writes a copy of an earlier refusal, or a part of it.
     *
     * @param rest what follows the next answer; "" if nothing does
     * @param cut whether what is written is not a whole message
     */
    public void writeCopy(String bytes, String rest, boolean cut) {
        if (mChannel.isActive()) {
            mRecord.countCopy(cut);
            mAfterNextAnswer += rest;
            write(bytes);
        }
    }

    /** Writes bytes, and resets the connection later. */
    public void writeAndReset(String bytes, Duration untilReset) {
        mChannel.config().setOption(ChannelOption.SO_LINGER, 0);
        write(bytes);
        after(untilReset, mChannel::close);
    }

    private void write(String bytes) {
        mChannel.writeAndFlush(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
    }

    /** Runs the action later on the thread of the connection. */
    public void after(Duration delay, Runnable action) {
        mChannel.eventLoop().schedule(action, delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // The router reset the connection, which it may do at any time.
        context.close();
    }
}
