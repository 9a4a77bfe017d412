package io.rhubarbward.net.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaders;
import io.rhubarbward.request.BackendCall;
import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.request.BackendListener;
import io.rhubarbward.request.ConnectionUse;
import io.rhubarbward.request.HeaderField;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.timer.TimerService;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.ListenableFuture;
import org.asynchttpclient.netty.request.NettyRequest;
import org.jspecify.annotations.Nullable;

/** One HTTP call; passes its events to a listener on the timer service's thread. */
final class BackendExchange implements AsyncHandler<Boolean>, BackendCall {
    private static final int FIRST_STATUS_BEYOND_SUCCESS = 300;

    private final BackendListener mListener;
    private final TimerService mTimers;
    private final Duration mConnectTimeout;
    private final ConnectionListener mConnections;
    private volatile TimerService.Subscription mConnectLimit = () -> {};
    private volatile boolean mCancelled;
    private volatile @Nullable ListenableFuture<Boolean> mFuture;
    private volatile @Nullable Channel mChannel;
    private volatile boolean mRequestSent;
    private volatile int mEarlierRequests;

    /** Whether the answer is complete, so that the connection may serve another call. */
    private volatile boolean mCompleted;

    private int mStatus;
    private boolean mConnectionReusable = true;

    /** Learns what a call finds out about its connection. */
    interface ConnectionListener {
        /** The call timed out, so that idle connections to the address may be broken too. */
        void onExpired();

        /** An answer other than a success began; returns whether its connection may be reused. */
        boolean onErrorAnswer(Channel connection);
    }

    /**
     * Creates an exchange that is not yet attached to its future.
     *
     * @param connectTimeout how long to wait for a new connection
     * @param connections learns what the call finds out about its connection
     */
    BackendExchange(
            BackendListener listener,
            TimerService timers,
            Duration connectTimeout,
            ConnectionListener connections) {
        mListener = listener;
        mTimers = timers;
        mConnectTimeout = connectTimeout;
        mConnections = connections;
    }

    /** Sets the call's future, and cancels it if {@link #cancel} was called before. */
    void attach(ListenableFuture<Boolean> future) {
        mFuture = future;
        if (mCancelled) {
            future.cancel(true);
        }
    }

    @Override
    public void onTcpConnectAttempt(InetSocketAddress address) {
        mConnectLimit = mTimers.afterReading(mConnectTimeout, this::onConnectTimeout);
    }

    private void onConnectTimeout() {
        ListenableFuture<Boolean> future = mFuture;
        if (mChannel == null && future != null) {
            future.cancel(true);
        }
    }

    @Override
    public void onTcpConnectSuccess(InetSocketAddress address, Channel connection) {
        mChannel = connection;
        mConnectLimit.cancel();
    }

    @Override
    public void onConnectionPooled(Channel connection) {
        mChannel = connection;
    }

    @Override
    public void onRequestSend(NettyRequest request) {
        mRequestSent = true;
        Channel channel = mChannel;
        if (channel != null) {
            mEarlierRequests = ConnectionHistory.of(channel).countRequest();
        }
    }

    @Override
    public State onStatusReceived(HttpResponseStatus status) {
        mStatus = status.getStatusCode();
        return State.CONTINUE;
    }

    @Override
    public State onHeadersReceived(HttpHeaders headers) {
        int status = mStatus;
        Channel channel = mChannel;
        if (status >= FIRST_STATUS_BEYOND_SUCCESS && channel != null) {
            mConnectionReusable = mConnections.onErrorAnswer(channel);
        }
        HeaderFields fields =
                new HeaderFields(
                        headers.entries().stream()
                                .map(entry -> new HeaderField(entry.getKey(), entry.getValue()))
                                .toList());
        mTimers.execute(() -> mListener.onHead(status, fields));
        return State.CONTINUE;
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) {
        ByteBuffer bytes = ByteBuffer.wrap(part.getBodyPartBytes());
        if (bytes.hasRemaining()) {
            mTimers.execute(() -> mListener.onPart(bytes));
        }
        return State.CONTINUE;
    }

    @Override
    public Boolean onCompleted() {
        setReading(true);
        mCompleted = true;
        Channel channel = mChannel;
        if (!mConnectionReusable && channel != null) {
            channel.close();
        }
        mTimers.execute(mListener::onComplete);
        return true;
    }

    @Override
    public void onThrowable(Throwable cause) {
        mConnectLimit.cancel();
        BackendFailure failure = failure(cause);
        mTimers.execute(() -> mListener.onFailure(failure));
    }

    private BackendFailure failure(Throwable cause) {
        if (cause instanceof InvalidStatusException) {
            return BackendFailure.INVALID_STATUS;
        }
        return mRequestSent ? BackendFailure.CONNECTION_LOST : BackendFailure.NOT_CONNECTED;
    }

    @Override
    public void pause() {
        setReading(false);
    }

    @Override
    public void resume() {
        setReading(true);
    }

    @Override
    public ConnectionUse connection() {
        Channel channel = mChannel;
        return channel == null
                ? ConnectionUse.UNKNOWN
                : new ConnectionUse(channel.id().asShortText(), mEarlierRequests);
    }

    @Override
    public boolean mayHaveBeenSent() {
        return mRequestSent;
    }

    @Override
    public void cancel() {
        mCancelled = true;
        ListenableFuture<Boolean> future = mFuture;
        if (future != null && !future.isDone()) {
            resetOnClose();
            future.cancel(true);
        }
    }

    /** A plain close would be delivered after the request, however long that is held up. */
    private void resetOnClose() {
        Channel channel = mChannel;
        if (channel != null && channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
    }

    @Override
    public void expire() {
        cancel();
        mConnections.onExpired();
    }

    private void setReading(boolean enabled) {
        Channel channel = mChannel;
        if (channel != null && !mCompleted) {
            channel.config().setAutoRead(enabled);
        }
    }
}
