package io.rhubarbward.request;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.config.RequestSettings;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.quota.QuotaKey;
import io.rhubarbward.quota.QuotaService.QuotaPermit;
import io.rhubarbward.quota.QuotaService.QuotaRefusal;
import io.rhubarbward.routing.RouteQuery;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * One caller's request from its acceptance to the end of its answer.
 *
 * <p>It tries backend servers in the routing policy's order until one answers. Every call has a
 * listener of its own that is deaf once the call was given up, so that a late answer reaches
 * nobody.
 */
final class Exchange implements CallerListener {
    private static final long RETRY_AFTER_MILLIS = 1000;
    private static final long NO_FIRST_BYTE = -1;
    private static final int SERVER_ERROR = 500;

    private final AcceptedRequest mRequest;
    private final ExchangeContext mContext;
    private final AnswerRelay mRelay;
    private final CallerResponse mResponse;
    private final Runnable mOnEnd;
    private final TimerService.Subscription mDeadline;
    private Deque<BackendServer> mCandidates = new ArrayDeque<>();
    private int mAttempts;
    private long mRetryAfterMillis = RETRY_AFTER_MILLIS;
    private @Nullable Attempt mAttempt;
    private boolean mEnded;

    Exchange(
            AcceptedRequest request,
            CallerResponse response,
            ExchangeContext context,
            Runnable onEnd) {
        mRequest = request;
        mResponse = response;
        mContext = context;
        mOnEnd = onEnd;
        mRelay = new AnswerRelay(request.service(), response);
        mDeadline =
                context.timers()
                        .after(Duration.ofMillis(limits().deadlineMillis()), () -> onDeadline());
    }

    void start() {
        mContext.admission()
                .admit(mRequest.account())
                .thenAccept(
                        admitted -> admitted.peek(permit -> route()).peekLeft(this::refuseAccount));
    }

    private void refuseAccount(QuotaRefusal refusal) {
        refuse(
                new Refusal(
                        RefusalCode.ACCOUNT_OVER_LIMIT,
                        "client account " + mRequest.account().name() + " is over its rate",
                        Math.max(1, refusal.retryAfterMillis())));
    }

    private void route() {
        RouteQuery query =
                new RouteQuery(mRequest.service(), mRequest.chat(), mContext.homeDataCentre());
        mCandidates =
                new ArrayDeque<>(
                        mContext.routing()
                                .candidates(
                                        query,
                                        mRequest.settings(),
                                        mContext.registry().servers(mRequest.service().name())));
        if (mCandidates.isEmpty()) {
            refuse(
                    new Refusal(
                            RefusalCode.NO_BACKEND,
                            "no backend server of " + mRequest.service().name() + " takes new work",
                            RETRY_AFTER_MILLIS));
        } else {
            tryNext();
        }
    }

    private void tryNext() {
        if (mEnded) {
            return;
        }
        BackendServer server = mCandidates.poll();
        if (server == null) {
            refuse(
                    new Refusal(
                            RefusalCode.OVERLOADED,
                            "every backend server of " + mRequest.service().name() + " is full",
                            mRetryAfterMillis));
            return;
        }
        mContext.quotas()
                .acquire(new QuotaKey.BackendConcurrency(server.name()))
                .thenAccept(granted -> onPermit(server, granted));
    }

    private void onPermit(BackendServer server, Either<QuotaRefusal, QuotaPermit> granted) {
        if (granted.isLeft()) {
            mRetryAfterMillis = granted.getLeft().retryAfterMillis();
            tryNext();
        } else if (mEnded) {
            granted.get().release();
        } else {
            mAttempts++;
            mAttempt = new Attempt(server, granted.get());
            mAttempt.send();
        }
    }

    private void onAttemptFailed(BackendFailure failure) {
        Refusal refusal =
                new Refusal(
                        failure.refusal(),
                        "backend server failed: " + failure,
                        failure.provesNotRun() ? RETRY_AFTER_MILLIS : 0);
        if (mRelay.begun()) {
            mContext.events().log(LogEvent.ANSWER_CUT, EventField.of("failure", failure));
            end(() -> mRelay.cut(refusal));
        } else if (mRequest.retryPolicy().mayRepeat(failure)
                && mAttempts < limits().maxAttempts()
                && !mCandidates.isEmpty()) {
            tryNext();
        } else {
            refuse(refusal);
        }
    }

    private void onDeadline() {
        Refusal refusal =
                Refusal.of(
                        RefusalCode.DEADLINE_EXCEEDED,
                        "took longer than " + limits().deadlineMillis() + " ms");
        giveUpAttempt();
        if (mRelay.begun()) {
            end(() -> mRelay.cut(refusal));
        } else {
            refuse(refusal);
        }
    }

    private void refuse(Refusal refusal) {
        mContext.events()
                .log(
                        LogEvent.REQUEST_REFUSED,
                        EventField.of("code", refusal.code().label()),
                        EventField.of("account", mRequest.account().name()));
        mContext.metrics().refused(refusal.code());
        end(() -> refusal.sendTo(mResponse));
    }

    private void end(Runnable answer) {
        if (!mEnded) {
            mEnded = true;
            mDeadline.cancel();
            answer.run();
            mOnEnd.run();
        }
    }

    private void giveUpAttempt() {
        if (mAttempt != null) {
            mAttempt.giveUp();
            mAttempt = null;
        }
    }

    @Override
    public void onWritable(boolean writable) {
        if (mAttempt != null) {
            mAttempt.flow(writable);
        }
    }

    @Override
    public void onGone() {
        giveUpAttempt();
        end(() -> {});
    }

    private RequestSettings limits() {
        return mRequest.settings().request();
    }

    /** One call to one backend server. */
    private final class Attempt implements BackendListener {
        private final BackendServer mServer;
        private final QuotaPermit mPermit;
        private final long mSentMillis = mContext.timers().nowMillis();
        private @Nullable BackendCall mCall;
        private TimerService.Subscription mSilence = () -> {};
        private boolean mOver;
        private int mStatus;
        private int mParts;
        private long mFirstByteMillis = NO_FIRST_BYTE;

        Attempt(BackendServer server, QuotaPermit permit) {
            mServer = server;
            mPermit = permit;
        }

        void send() {
            mContext.registry().started(mServer.name());
            watchSilence(limits().firstByteMillis());
            mCall = mContext.backends().send(mContext.backendRequest(mRequest, mServer), this);
        }

        void flow(boolean writable) {
            if (mCall == null || mOver) {
                return;
            }
            if (writable) {
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
            if (!mOver) {
                mStatus = status;
                mFirstByteMillis = mContext.timers().nowMillis() - mSentMillis;
                mContext.metrics().firstByte(mRequest.service().name(), mFirstByteMillis);
                watchSilence(limits().silenceMillis());
                mRelay.begin(status, headers);
            }
        }

        @Override
        public void onPart(ByteBuffer part) {
            if (!mOver) {
                mParts++;
                watchSilence(limits().silenceMillis());
                mRelay.write(part);
            }
        }

        @Override
        public void onComplete() {
            boolean whole = mRelay.whole();
            if (!close(whole ? answered() : CallOutcome.Result.FAILED)) {
                return;
            }
            if (whole) {
                mContext.metrics().answered(mRequest.service().name());
                end(mRelay::finish);
            } else {
                onAttemptFailed(BackendFailure.INCOMPLETE);
            }
        }

        @Override
        public void onFailure(BackendFailure failure) {
            if (close(CallOutcome.Result.FAILED)) {
                onAttemptFailed(failure);
            }
        }

        private void onSilence() {
            if (close(CallOutcome.Result.FAILED) && mCall != null) {
                mCall.cancel();
            }
            onAttemptFailed(BackendFailure.SILENT);
        }

        private void watchSilence(int millis) {
            mSilence.cancel();
            mSilence = mContext.timers().after(Duration.ofMillis(millis), this::onSilence);
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
            mContext.registry().finished(mServer.name());
            mContext.observer()
                    .onOutcome(
                            new CallOutcome(
                                    mServer,
                                    mRequest.caller().path(),
                                    result,
                                    mFirstByteMillis,
                                    mContext.timers().nowMillis() - mSentMillis,
                                    mParts));
            return true;
        }
    }
}
