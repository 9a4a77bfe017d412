package io.rhubarbward.forward;

import io.rhubarbward.crash.CrashSuspects;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.placement.SendResult;
import io.rhubarbward.placement.TrackedServer;
import io.rhubarbward.request.BackendCall;
import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.request.BackendListener;
import io.rhubarbward.request.BackendRequest;
import io.rhubarbward.request.ConnectionUse;
import io.rhubarbward.request.FinalStatus;
import io.rhubarbward.request.HeaderFields;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * One attempt to send a request to one backend server.
 *
 * <p>Records the result in the server table and the metrics. Events that arrive after the end are
 * ignored, so that a late answer does not reach the caller.
 */
final class ServerCall implements BackendListener, OpenCall {
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final long NO_FIRST_BYTE = -1;

    /** Time after the first byte at which an answer that goes on is timed. */
    private static final long TIMED_AFTER_MILLIS = 1000;

    /** Bytes after the first part from which the pace of an answer can be told. */
    private static final long MIN_PACE_BYTES = 100;

    private static final long NOT_BEGUN = -1;

    private final ResolvedRequest mRequest;
    private final ForwardContext mContext;
    private final TrackedServer mServer;
    private final Listener mListener;
    private final long mSentMillis;
    private @Nullable BackendCall mCall;
    private int mStatus;
    private long mFirstByteMillis = NO_FIRST_BYTE;
    private long mBytesAfterFirstPart;
    private boolean mTimed;

    /** How long the answer had been arriving when it was last recorded that it goes on. */
    private long mRecordedAnswerMillis;

    private long mAnswerBegunMillis = NOT_BEGUN;
    private EventStreamFraming mFraming = new EventStreamFraming(HeaderFields.NONE);
    private @Nullable DiscardedBody mDiscardedBody;
    private boolean mEnded;

    ServerCall(
            ResolvedRequest request,
            ForwardContext context,
            TrackedServer server,
            Listener listener) {
        mRequest = request;
        mContext = context;
        mServer = server;
        mListener = listener;
        mSentMillis = context.timers().nowMillis();
    }

    /** Receives the progress of a call and then at most one of its ends. */
    interface Listener extends AnswerListener {
        /** The server declined the request and will not run it; an end. */
        void onNotRun(TrackedServer server, int status);

        /** The call failed; an end. */
        void onFailed(TrackedServer server, SendResult result, boolean mayHaveRun);
    }

    void send(Duration remaining) {
        mContext.table().recordSend(mServer);
        mContext.reach().onSent(this, mServer);
        BackendRequestMetadata metadata =
                new BackendRequestMetadata(
                        mServer.server().name(),
                        remaining,
                        mRequest.accountName(),
                        mRequest.priority());
        HeaderFields headers = mContext.dialect().toServer(mRequest.caller().headers(), metadata);
        mCall =
                mContext.backends()
                        .send(
                                new BackendRequest(
                                        mServer.server(),
                                        mRequest.caller().method(),
                                        mRequest.caller().target(),
                                        headers,
                                        mRequest.caller().body()),
                                this);
        if (mEnded) {
            mCall.cancel();
        }
    }

    TrackedServer server() {
        return mServer;
    }

    @Override
    public void onCallerWritable(boolean writable) {
        if (mCall != null && !mEnded) {
            if (writable) {
                mCall.resume();
            } else {
                mCall.pause();
            }
        }
    }

    @Override
    public boolean mayHaveBeenSent() {
        return mCall == null || mCall.mayHaveBeenSent();
    }

    @Override
    public String receiver() {
        return mServer.server().name();
    }

    @Override
    public ConnectionUse connection() {
        return mCall == null ? ConnectionUse.UNKNOWN : mCall.connection();
    }

    @Override
    public void cancel(SendResult result) {
        if (end(result) && mCall != null) {
            if (result == SendResult.TIMED_OUT) {
                mCall.expire();
            } else {
                mCall.cancel();
            }
        }
    }

    @Override
    public void onHead(int status, HeaderFields headers) {
        if (mEnded) {
            return;
        }
        mContext.reach().onHeard(this);
        if (!FinalStatus.isValid(status)) {
            if (mCall != null) {
                mCall.cancel();
            }
            onFailure(BackendFailure.INVALID_STATUS);
            return;
        }
        mStatus = status;
        mAnswerBegunMillis = mContext.timers().nowMillis();
        mFraming = new EventStreamFraming(headers);
        ResponseMetadata metadata = mContext.dialect().readAnswer(status, headers);
        boolean believed = answersThisAttempt(metadata);
        if (metadata.notRun()) {
            logDeclined(status, metadata, believed);
        }
        if (!believed) {
            fail(SendResult.BROKEN);
            return;
        }
        if (status != ForwardedExchange.MISDIRECTED_STATUS) {
            recordStatements(metadata);
        }
        if (metadata.notRun()) {
            SendResult result = declined(status, metadata);
            if (end(result)) {
                if (mCall != null) {
                    mDiscardedBody = new DiscardedBody(mCall, mContext.timers());
                }
                mListener.onNotRun(mServer, status);
            }
        } else if (!metadata.genuine()) {
            fail(SendResult.BROKEN);
        } else {
            if (!mRequest.service().engine() && status < MIN_SERVER_ERROR_STATUS) {
                mContext.table().recordResponseTime(mServer, mAnswerBegunMillis - mSentMillis);
            }
            mListener.onHead(status, headers);
        }
    }

    private void logDeclined(int status, ResponseMetadata metadata, boolean believed) {
        ConnectionUse connection = connection();
        mContext.events()
                .log(
                        LogEvent.REQUEST_DECLINED,
                        EventField.of("id", mRequest.metadata().attemptId()),
                        EventField.of("server", mServer.server().name()),
                        EventField.of("address", mServer.server().address()),
                        EventField.of("status", status),
                        EventField.of("believed", believed),
                        EventField.of("namesId", metadata.attemptId().isPresent()),
                        EventField.of("connection", connection.name()),
                        EventField.of("earlierRequests", connection.earlierRequests()),
                        EventField.of("afterMs", mContext.timers().nowMillis() - mSentMillis));
    }

    private static SendResult declined(int status, ResponseMetadata metadata) {
        if (status == ForwardedExchange.MISDIRECTED_STATUS) {
            return SendResult.MISDIRECTED;
        }
        return metadata.rest().isPresent() ? SendResult.RESTING : SendResult.SHED;
    }

    /** Records what the server says of itself; a misdirected answer is one of another server. */
    private void recordStatements(ResponseMetadata metadata) {
        metadata.load().ifPresent(load -> mContext.table().recordLoad(mServer, load));
        mContext.table().recordLimit(mServer, metadata.limitPerSecond());
        mContext.table().recordBrittle(mServer, metadata.brittlePerSecond());
        if (metadata.leaving()) {
            mContext.table().recordLeaving(mServer);
        }
        metadata.rest().ifPresent(rest -> mContext.table().recordRest(mServer, rest));
    }

    /**
     * Returns whether the answer names this attempt. A statement that it did not run need not name
     * it, unless the connection was used before: then it may be one of an earlier attempt.
     */
    private boolean answersThisAttempt(ResponseMetadata metadata) {
        return metadata.attemptId()
                .map(mRequest.metadata().attemptId()::equals)
                .orElse(metadata.notRun() && mCall != null && !connection().kept());
    }

    private void fail(SendResult result) {
        if (end(result)) {
            if (mCall != null) {
                mCall.cancel();
            }
            mListener.onFailed(mServer, result, true);
        }
    }

    @Override
    public void onPart(ByteBuffer part) {
        if (mDiscardedBody != null) {
            mDiscardedBody.onPart(part);
        }
        if (!mEnded) {
            mContext.reach().onHeard(this);
            long sinceSentMillis = mContext.timers().nowMillis() - mSentMillis;
            if (mFirstByteMillis == NO_FIRST_BYTE) {
                mFirstByteMillis = sinceSentMillis;
            } else {
                mBytesAfterFirstPart += part.remaining();
                if (sinceSentMillis - mFirstByteMillis >= TIMED_AFTER_MILLIS) {
                    time(sinceSentMillis);
                }
            }
            if (mStatus < MIN_SERVER_ERROR_STATUS
                    && CrashSuspects.outlivesSuspicion(answerMillis() - mRecordedAnswerMillis)) {
                recordSurvived();
            }
            mFraming.read(part);
            mListener.onPart(part);
        }
    }

    @Override
    public void onComplete() {
        endDiscardedBody();
        if (!mFraming.mayBeComplete()) {
            onFailure(BackendFailure.INCOMPLETE);
            return;
        }
        SendResult result =
                mStatus >= MIN_SERVER_ERROR_STATUS ? SendResult.SERVER_ERROR : SendResult.ANSWERED;
        if (end(result)) {
            if (result == SendResult.ANSWERED) {
                recordSurvived();
            }
            mListener.onComplete();
        }
    }

    /** Records that the request did not crash the server when its answer began. */
    private void recordSurvived() {
        if (!mContext.crashSuspects().empty()) {
            mRecordedAnswerMillis = answerMillis();
            mContext.crashSuspects()
                    .recordAnswer(
                            mRequest.traits(),
                            mServer.server().service(),
                            mRequest.metadata().attemptId());
        }
    }

    private void endDiscardedBody() {
        if (mDiscardedBody != null) {
            mDiscardedBody.onEnd();
        }
    }

    @Override
    public void onFailure(BackendFailure failure) {
        endDiscardedBody();
        SendResult result = result(failure);
        if (end(result)) {
            if (failure.provesNotRun() || failure == BackendFailure.SILENT) {
                logUnreachable(result);
            } else {
                // A server that answers with an invalid status has not crashed.
                recordConnectionLost(result, failure != BackendFailure.INVALID_STATUS);
            }
            mListener.onFailed(mServer, result, !failure.provesNotRun());
        }
    }

    private void logUnreachable(SendResult result) {
        mContext.events()
                .log(
                        LogEvent.BACKEND_UNREACHABLE,
                        EventField.of("id", mRequest.metadata().attemptId()),
                        EventField.of("server", mServer.server().name()),
                        EventField.of("result", result),
                        EventField.of("afterMs", mContext.timers().nowMillis() - mSentMillis));
    }

    private void recordConnectionLost(SendResult result, boolean mayBeCrash) {
        mContext.events()
                .log(
                        LogEvent.BACKEND_CONNECTION_LOST,
                        EventField.of("id", mRequest.metadata().attemptId()),
                        EventField.of("server", mServer.server().name()),
                        EventField.of("result", result),
                        EventField.of("answerMs", answerMillis()),
                        EventField.of("parts", mRequest.sharedPartIds()));
        // A server that is shutting down ends its connections by itself.
        if (mayBeCrash && !mServer.leaving()) {
            long answerMillis = answerMillis();
            mContext.reach()
                    .whenConfirmed(
                            mSentMillis,
                            () ->
                                    mContext.crashSuspects()
                                            .recordCrash(
                                                    mRequest.traits(),
                                                    mServer.server().service(),
                                                    mServer.incarnation(),
                                                    answerMillis));
        }
    }

    /** Returns how long the answer has been arriving; negative if it has not begun. */
    private long answerMillis() {
        return mAnswerBegunMillis == NOT_BEGUN
                ? NOT_BEGUN
                : mContext.timers().nowMillis() - mAnswerBegunMillis;
    }

    private SendResult result(BackendFailure failure) {
        return switch (failure) {
            case NOT_CONNECTED -> SendResult.UNREACHABLE;
            case SILENT -> SendResult.SILENT;
            case CONNECTION_LOST -> mStatus == 0 ? SendResult.RESET : SendResult.BROKEN;
            case INCOMPLETE, INVALID_STATUS -> SendResult.BROKEN;
        };
    }

    /** Ends the call and records its result; returns false if it had already ended. */
    private boolean end(SendResult result) {
        if (mEnded) {
            return false;
        }
        mEnded = true;
        mContext.metrics().countSend(mRequest.service().name(), result.name());
        SendResult heldAgainstServer =
                mContext.reach().onEnded(this, mServer, result, () -> recordFailure(result));
        mContext.table().recordResult(mServer, heldAgainstServer, mRequest.service().coldStart());
        if (mFirstByteMillis != NO_FIRST_BYTE && result == SendResult.ANSWERED) {
            time(mContext.timers().nowMillis() - mSentMillis);
        }
        mContext.sendObserver().onEnded(mServer, mRequest.route(), heldAgainstServer);
        return true;
    }

    /** Records a failure of a call that has ended before. */
    private void recordFailure(SendResult result) {
        mContext.table().recordFailure(mServer, result, mRequest.service().coldStart());
        mContext.sendObserver().onEnded(mServer, mRequest.route(), result);
    }

    /** Tells the observer the times of the answer, once. */
    private void time(long sinceSentMillis) {
        if (mTimed) {
            return;
        }
        mTimed = true;
        double millisPerByte =
                mBytesAfterFirstPart < MIN_PACE_BYTES
                        ? Double.NaN
                        : (double) (sinceSentMillis - mFirstByteMillis) / mBytesAfterFirstPart;
        mContext.sendObserver().onTimed(mServer, mRequest.route(), mFirstByteMillis, millisPerByte);
    }
}
