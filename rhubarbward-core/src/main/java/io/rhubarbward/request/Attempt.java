package io.rhubarbward.request;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.config.RequestSettings;
import io.rhubarbward.quota.QuotaService.QuotaPermit;
import io.rhubarbward.timer.TimerService;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * One call to one backend server on behalf of an exchange.
 *
 * <p>It is deaf once it is over, so that a late answer reaches nobody.
 */
final class Attempt implements BackendListener {
    private static final long NO_FIRST_BYTE = -1;
    private static final int SERVER_ERROR = 500;

    private final AcceptedRequest mRequest;
    private final ExchangeContext mContext;
    private final BackendServer mServer;
    private final QuotaPermit mPermit;
    private final Owner mOwner;
    private final long mSentMillis;
    private @Nullable BackendCall mCall;
    private TimerService.Subscription mSilence = () -> {};
    private boolean mWritable;
    private boolean mOver;
    private int mStatus;
    private int mParts;
    private long mFirstByteMillis = NO_FIRST_BYTE;

    Attempt(
            AcceptedRequest request,
            ExchangeContext context,
            BackendServer server,
            QuotaPermit permit,
            boolean writable,
            Owner owner) {
        mRequest = request;
        mContext = context;
        mServer = server;
        mPermit = permit;
        mWritable = writable;
        mOwner = owner;
        mSentMillis = context.timers().nowMillis();
    }

    /** Told how the attempt goes; at most one of the ends comes. */
    interface Owner {
        void onHead(int status, HeaderFields headers);

        void onPart(ByteBuffer part);

        /** Returns whether what came so far is the whole answer. */
        boolean whole();

        void onWhole();

        void onFailed(BackendServer server, BackendFailure failure);
    }

    void send() {
        mContext.registry().requestSent(mServer.name());
        watchSilence(limits().firstByteMillis());
        mCall = mContext.backends().send(mContext.backendRequest(mRequest, mServer), this);
    }

    /** Reads the answer or lets it wait; a caller that reads slowly is no silent server. */
    void flow(boolean writable) {
        mWritable = writable;
        if (!mOver && headSeen()) {
            applyFlow();
        }
    }

    private void applyFlow() {
        if (mCall == null) {
            return;
        }
        if (mWritable) {
            watchSilence(limits().silenceMillis());
            mCall.resume();
        } else {
            mSilence.cancel();
            mCall.pause();
        }
    }

    void giveUp() {
        if (close(CallOutcome.Result.GIVEN_UP) && mCall != null) {
            mCall.cancel();
        }
    }

    @Override
    public void onHead(int status, HeaderFields headers) {
        if (mOver) {
            return;
        }
        mStatus = status;
        mFirstByteMillis = mContext.timers().nowMillis() - mSentMillis;
        mContext.metrics().firstByte(mRequest.service().name(), mFirstByteMillis);
        watchSilence(limits().silenceMillis());
        if (!mWritable) {
            applyFlow();
        }
        mOwner.onHead(status, headers);
    }

    @Override
    public void onPart(ByteBuffer part) {
        if (!mOver) {
            mParts++;
            if (mWritable) {
                watchSilence(limits().silenceMillis());
            }
            mOwner.onPart(part);
        }
    }

    @Override
    public void onComplete() {
        boolean whole = headSeen() && mOwner.whole();
        if (!close(whole ? answered() : CallOutcome.Result.FAILED)) {
            return;
        }
        if (whole) {
            mOwner.onWhole();
        } else {
            mOwner.onFailed(mServer, BackendFailure.INCOMPLETE);
        }
    }

    @Override
    public void onFailure(BackendFailure failure) {
        if (close(CallOutcome.Result.FAILED)) {
            mOwner.onFailed(mServer, failure);
        }
    }

    private void onSilence() {
        if (close(CallOutcome.Result.FAILED)) {
            if (mCall != null) {
                mCall.expire();
            }
            mOwner.onFailed(mServer, BackendFailure.SILENT);
        }
    }

    private void watchSilence(int millis) {
        mSilence.cancel();
        mSilence = mContext.timers().after(Duration.ofMillis(millis), this::onSilence);
    }

    private boolean headSeen() {
        return mFirstByteMillis != NO_FIRST_BYTE;
    }

    private CallOutcome.Result answered() {
        return mStatus < SERVER_ERROR
                ? CallOutcome.Result.ANSWERED
                : CallOutcome.Result.SERVER_ERROR;
    }

    private boolean close(CallOutcome.Result result) {
        if (mOver) {
            return false;
        }
        mOver = true;
        mSilence.cancel();
        mPermit.release();
        mContext.registry().requestEnded(mServer.name());
        mContext.observer()
                .onOutcome(
                        new CallOutcome(
                                mServer,
                                mRequest.caller().path(),
                                mRequest.chat(),
                                result,
                                mFirstByteMillis,
                                mContext.timers().nowMillis() - mSentMillis,
                                mParts));
        return true;
    }

    private RequestSettings limits() {
        return mRequest.settings().request();
    }
}
