package io.rhubarbward.request;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.config.RequestSettings;
import io.rhubarbward.quota.QuotaService.QuotaPermit;
import io.rhubarbward.timer.TimerService;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * One attempt of an exchange to get its request answered by one backend server.
 *
 * <p>Events that arrive after the end are ignored, so that a late answer does not reach the caller.
 */
final class Attempt implements BackendListener {
    private static final long NO_FIRST_BYTE = -1;
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final AcceptedRequest mRequest;
    private final ExchangeContext mContext;
    private final BackendServer mServer;
    private final QuotaPermit mPermit;
    private final Listener mListener;
    private final long mSentMillis;
    private @Nullable BackendCall mCall;
    private TimerService.Subscription mSilenceTimeout = () -> {};
    private boolean mCallerWritable;
    private boolean mEnded;
    private int mStatus;
    private int mPartCount;
    private long mFirstByteMillis = NO_FIRST_BYTE;

    Attempt(
            AcceptedRequest request,
            ExchangeContext context,
            BackendServer server,
            QuotaPermit permit,
            boolean callerWritable,
            Listener listener) {
        mRequest = request;
        mContext = context;
        mServer = server;
        mPermit = permit;
        mCallerWritable = callerWritable;
        mListener = listener;
        mSentMillis = context.timers().nowMillis();
    }

    /** Receives the progress of an attempt and then at most one of its ends. */
    interface Listener {
        void onHead(int status, HeaderFields headers);

        void onPart(ByteBuffer part);

        /** Returns whether the answer is complete with the parts received so far. */
        boolean answerComplete();

        /** The answer is complete; an end. */
        void onComplete();

        /** The attempt failed; an end. */
        void onFailed(BackendServer server, BackendFailure failure);
    }

    void send() {
        mContext.registry().requestSent(mServer.name());
        restartSilenceTimeout(limits().firstByteMillis());
        mCall = mContext.backends().send(mContext.newBackendRequest(mRequest, mServer), this);
    }

    /**
     * Pauses or resumes reading the answer. The silence timeout does not run while it is paused,
     * since a slow caller is no fault of the server.
     */
    void onCallerWritable(boolean callerWritable) {
        mCallerWritable = callerWritable;
        if (!mEnded && hasHead()) {
            updateReading();
        }
    }

    private void updateReading() {
        if (mCall == null) {
            return;
        }
        if (mCallerWritable) {
            restartSilenceTimeout(limits().silenceMillis());
            mCall.resume();
        } else {
            mSilenceTimeout.cancel();
            mCall.pause();
        }
    }

    /** Ends the attempt, if it has not ended, and cancels its call. */
    void cancel() {
        if (end(CallOutcome.Result.GIVEN_UP) && mCall != null) {
            mCall.cancel();
        }
    }

    @Override
    public void onHead(int status, HeaderFields headers) {
        if (mEnded) {
            return;
        }
        if (!FinalStatus.isValid(status)) {
            if (end(CallOutcome.Result.FAILED)) {
                if (mCall != null) {
                    mCall.cancel();
                }
                mListener.onFailed(mServer, BackendFailure.INVALID_STATUS);
            }
            return;
        }
        mStatus = status;
        mFirstByteMillis = mContext.timers().nowMillis() - mSentMillis;
        mContext.metrics().observeFirstByte(mRequest.service().name(), mFirstByteMillis);
        restartSilenceTimeout(limits().silenceMillis());
        if (!mCallerWritable) {
            updateReading();
        }
        mListener.onHead(status, headers);
    }

    @Override
    public void onPart(ByteBuffer part) {
        if (!mEnded) {
            mPartCount++;
            if (mCallerWritable) {
                restartSilenceTimeout(limits().silenceMillis());
            }
            mListener.onPart(part);
        }
    }

    @Override
    public void onComplete() {
        boolean complete = hasHead() && mListener.answerComplete();
        if (!end(complete ? answeredResult() : CallOutcome.Result.FAILED)) {
            return;
        }
        if (complete) {
            mListener.onComplete();
        } else {
            mListener.onFailed(mServer, BackendFailure.INCOMPLETE);
        }
    }

    @Override
    public void onFailure(BackendFailure failure) {
        if (end(CallOutcome.Result.FAILED)) {
            mListener.onFailed(mServer, failure);
        }
    }

    private void onSilenceTimeout() {
        if (end(CallOutcome.Result.FAILED)) {
            if (mCall != null) {
                mCall.expire();
            }
            mListener.onFailed(mServer, BackendFailure.SILENT);
        }
    }

    private void restartSilenceTimeout(int millis) {
        mSilenceTimeout.cancel();
        mSilenceTimeout =
                mContext.timers().afterReading(Duration.ofMillis(millis), this::onSilenceTimeout);
    }

    private boolean hasHead() {
        return mFirstByteMillis != NO_FIRST_BYTE;
    }

    private CallOutcome.Result answeredResult() {
        return mStatus < MIN_SERVER_ERROR_STATUS
                ? CallOutcome.Result.ANSWERED
                : CallOutcome.Result.SERVER_ERROR;
    }

    /** Ends the attempt and reports its outcome; returns false if it had already ended. */
    private boolean end(CallOutcome.Result result) {
        if (mEnded) {
            return false;
        }
        mEnded = true;
        mSilenceTimeout.cancel();
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
                                mPartCount));
        return true;
    }

    private RequestSettings limits() {
        return mRequest.settings().request();
    }
}
