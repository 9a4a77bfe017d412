package io.rhubarbward.forward;

import io.rhubarbward.placement.SendResult;
import io.rhubarbward.placement.TrackedServer;
import io.rhubarbward.request.BackendCall;
import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.request.BackendListener;
import io.rhubarbward.request.BackendRequest;
import io.rhubarbward.request.HeaderFields;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * One send of a request to one backend server.
 *
 * <p>Keeps the books on the server and is deaf once it is over, so that a late answer reaches
 * nobody.
 */
final class ServerCall implements BackendListener {
    private static final int SERVER_ERROR = 500;
    private static final long NONE = -1;

    private final ForwardRequest mRequest;
    private final ForwardContext mContext;
    private final TrackedServer mServer;
    private final Owner mOwner;
    private final long mSentMillis;
    private @Nullable BackendCall mCall;
    private int mStatus;
    private long mFirstByteMillis = NONE;
    private boolean mOver;

    ServerCall(ForwardRequest request, ForwardContext context, TrackedServer server, Owner owner) {
        mRequest = request;
        mContext = context;
        mServer = server;
        mOwner = owner;
        mSentMillis = context.timers().nowMillis();
    }

    /** Told how the call goes; at most one of the ends comes. */
    interface Owner {
        /** The server does not run the request and never will. */
        void onNotRun(TrackedServer server, int status);

        /** A genuine answer begins. */
        void onHead(int status, HeaderFields headers);

        void onPart(ByteBuffer part);

        void onWhole();

        void onFailed(TrackedServer server, SendResult result, boolean mayHaveRun);
    }

    void send(Duration remaining) {
        mContext.table().recordSend(mServer);
        BackendRequestMetadata facts =
                new BackendRequestMetadata(
                        mServer.server().name(),
                        remaining,
                        mRequest.accountName(),
                        mRequest.priority());
        HeaderFields headers = mContext.dialect().toServer(mRequest.caller().headers(), facts);
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
        if (mOver) {
            mCall.cancel();
        }
    }

    TrackedServer server() {
        return mServer;
    }

    void flow(boolean writable) {
        if (mCall != null && !mOver) {
            if (writable) {
                mCall.resume();
            } else {
                mCall.pause();
            }
        }
    }

    /** Gives up; the server sees its connection close. */
    void cancel(SendResult result) {
        if (close(result) && mCall != null) {
            if (result == SendResult.TIMED_OUT) {
                mCall.expire();
            } else {
                mCall.cancel();
            }
        }
    }

    @Override
    public void onHead(int status, HeaderFields headers) {
        if (mOver) {
            return;
        }
        mStatus = status;
        ResponseMetadata facts = mContext.dialect().readAnswer(status, headers);
        facts.load().ifPresent(load -> mServer.recordLoad(load, mContext.timers().nowMillis()));
        boolean ours = facts.attemptId().filter(mRequest.facts().attemptId()::equals).isPresent();
        if (facts.notRun() && (ours || facts.attemptId().isEmpty())) {
            SendResult result =
                    status == Forwarding.MISDIRECTED ? SendResult.MISDIRECTED : SendResult.SHED;
            if (close(result)) {
                mOwner.onNotRun(mServer, status);
            }
        } else if (!ours || !facts.genuine()) {
            fail(SendResult.BROKEN);
        } else {
            mOwner.onHead(status, headers);
        }
    }

    private void fail(SendResult result) {
        if (close(result)) {
            if (mCall != null) {
                mCall.cancel();
            }
            mOwner.onFailed(mServer, result, true);
        }
    }

    @Override
    public void onPart(ByteBuffer part) {
        if (!mOver) {
            if (mFirstByteMillis == NONE) {
                mFirstByteMillis = mContext.timers().nowMillis() - mSentMillis;
            }
            mOwner.onPart(part);
        }
    }

    @Override
    public void onComplete() {
        SendResult result = mStatus >= SERVER_ERROR ? SendResult.SERVER_ERROR : SendResult.ANSWERED;
        if (close(result)) {
            mOwner.onWhole();
        }
    }

    @Override
    public void onFailure(BackendFailure failure) {
        SendResult result = result(failure);
        if (close(result)) {
            mOwner.onFailed(mServer, result, !failure.provesNotRun());
        }
    }

    private SendResult result(BackendFailure failure) {
        return switch (failure) {
            case NOT_CONNECTED -> SendResult.UNREACHABLE;
            case SILENT -> SendResult.SILENT;
            case CONNECTION_LOST -> mStatus == 0 ? SendResult.RESET : SendResult.BROKEN;
            case INCOMPLETE -> SendResult.BROKEN;
        };
    }

    private boolean close(SendResult result) {
        if (mOver) {
            return false;
        }
        mOver = true;
        mContext.metrics().send(mRequest.service().name(), result.name());
        mContext.table().recordResult(mServer, result, mRequest.service().coldStart());
        mContext.outcomes().onEnded(mServer, mRequest.route(), result, mFirstByteMillis);
        return true;
    }
}
