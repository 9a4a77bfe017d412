package io.rhubarbward.request;

import io.rhubarbward.admission.AdmissionQueue;
import io.rhubarbward.config.BackendServer;
import io.rhubarbward.config.RequestSettings;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.quota.QuotaKey;
import io.rhubarbward.quota.QuotaService.QuotaPermit;
import io.rhubarbward.quota.QuotaService.QuotaRefusal;
import io.rhubarbward.request.claim.ClaimVerdict;
import io.rhubarbward.request.claim.StoredAnswer;
import io.rhubarbward.request.quarantine.Crash;
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
 * <p>It tries backend servers in the routing policy's order until one answers. A request with an
 * idempotency key is claimed before its first byte is sent, and goes on to its end when its caller
 * has gone, so that the answer can be kept.
 */
final class Exchange implements CallerListener, Attempt.Owner {
    private static final long RETRY_AFTER_MILLIS = 1000;
    private static final String REPLAYED_HEADER = "idempotency-replayed";

    private final AcceptedRequest mRequest;
    private final ExchangeContext mContext;
    private final AnswerRelay mRelay;
    private final CallerResponse mResponse;
    private final ExchangeClaim mClaim;
    private final ExchangeSuspicion mSuspicion;
    private final Runnable mOnEnd;
    private TimerService.Subscription mDeadline;
    private Deque<BackendServer> mCandidates = new ArrayDeque<>();
    private int mAttempts;
    private long mSentEpochMillis;
    private long mRetryAfterMillis = RETRY_AFTER_MILLIS;
    private final AdmissionQueue.Entry mQueueEntry;
    private @Nullable Attempt mAttempt;
    private boolean mMayHaveRun;
    private boolean mWritable = true;
    private boolean mCallerGone;
    private boolean mEnded;
    private boolean mDelivered;
    private boolean mSettled;
    private boolean mClosed;

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
        mClaim = new ExchangeClaim(request, context.claims());
        mQueueEntry =
                context.admission()
                        .queue()
                        .newEntry(request.service().name(), request.account(), new Waiting());
        mSuspicion = new ExchangeSuspicion(request, context.quarantine());
        mDeadline =
                context.timers()
                        .after(Duration.ofMillis(limits().deadlineMillis()), () -> onDeadline());
    }

    void start() {
        mContext.admission()
                .admit(mRequest.account())
                .thenAccept(
                        admitted ->
                                admitted.peek(permit -> checkSuspicion())
                                        .peekLeft(this::refuseAccount));
    }

    private void refuseAccount(QuotaRefusal refusal) {
        refuse(
                new Refusal(
                        RefusalCode.ACCOUNT_OVER_LIMIT,
                        "client account " + mRequest.account().name() + " is over its rate",
                        Math.max(1, refusal.retryAfterMillis())));
    }

    private void checkSuspicion() {
        if (!mEnded) {
            mSuspicion.refusal().ifPresentOrElse(this::refuse, this::enter);
        }
    }

    private void enter() {
        if (!mEnded && mQueueEntry.othersWait()) {
            mQueueEntry.enqueue();
        } else {
            route();
        }
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
            onAllFull();
            return;
        }
        mContext.quotas()
                .acquire(new QuotaKey.BackendConcurrency(server.name()))
                .thenAccept(granted -> onPermit(server, granted));
    }

    private void onAllFull() {
        if (mAttempts == 0) {
            mQueueEntry.enqueue();
        } else {
            refuseOverloaded();
        }
    }

    private void refuseOverloaded() {
        refuse(
                new Refusal(
                        RefusalCode.OVERLOADED,
                        "every backend server of " + mRequest.service().name() + " is full",
                        mRetryAfterMillis));
    }

    private void onPermit(BackendServer server, Either<QuotaRefusal, QuotaPermit> granted) {
        if (granted.isLeft()) {
            mRetryAfterMillis = granted.getLeft().retryAfterMillis();
            tryNext();
        } else if (mEnded) {
            granted.get().release();
        } else if (mClaim.wanted()) {
            mClaim.acquire().thenAccept(verdict -> onClaim(server, granted.get(), verdict));
        } else {
            attempt(server, granted.get());
        }
    }

    private void onClaim(BackendServer server, QuotaPermit permit, ClaimVerdict verdict) {
        boolean deduplicated =
                verdict instanceof ClaimVerdict.StoreOut && mRequest.service().deduplicates();
        if (mEnded) {
            permit.release();
            mClaim.settle(ExchangeClaim.End.NOT_RUN);
        } else if (verdict instanceof ClaimVerdict.Granted || deduplicated) {
            mClaim.waive();
            attempt(server, permit);
        } else {
            permit.release();
            answerWithout(verdict);
        }
    }

    /** Answers a request whose key is not this exchange's own; it is not sent. */
    private void answerWithout(ClaimVerdict verdict) {
        if (verdict instanceof ClaimVerdict.Answered answered && answered.answer().body() != null) {
            end(() -> replay(answered.answer()));
        } else {
            refuse(ClaimRefusals.of(verdict));
        }
    }

    private void replay(StoredAnswer answer) {
        mContext.metrics().answered(mRequest.service().name());
        mResponse.begin(
                answer.status(), new HeaderFields(answer.headers()).with(REPLAYED_HEADER, "true"));
        mResponse.write(answer.bytes());
        mResponse.finish();
    }

    private void attempt(BackendServer server, QuotaPermit permit) {
        mAttempts++;
        mQueueEntry.onCapacityFound();
        mSentEpochMillis = mContext.timers().epochMillis();
        mAttempt = new Attempt(mRequest, mContext, server, permit, mWritable, this);
        mAttempt.send();
    }

    @Override
    public void onHead(int status, HeaderFields headers) {
        mMayHaveRun = true;
        mClaim.onHead(status, headers);
        mRelay.begin(status, headers);
    }

    @Override
    public void onPart(ByteBuffer part) {
        mClaim.onPart(part);
        mRelay.write(part);
    }

    @Override
    public boolean whole() {
        return mRelay.whole();
    }

    @Override
    public void onWhole() {
        mAttempt = null;
        mContext.metrics().answered(mRequest.service().name());
        end(ExchangeClaim.End.ANSWERED, mRelay::finish);
    }

    @Override
    public void onFailed(BackendServer server, BackendFailure failure) {
        mAttempt = null;
        mMayHaveRun |= !failure.provesNotRun();
        Refusal refusal =
                new Refusal(
                        failure.refusal(),
                        "backend server failed: " + failure,
                        mMayHaveRun ? 0 : RETRY_AFTER_MILLIS);
        boolean wanted =
                !mRelay.begun()
                        && mRequest.retryPolicy().mayRepeat(failure)
                        && mAttempts < limits().maxAttempts()
                        && !mCandidates.isEmpty();
        Crash crash = new Crash(server.name(), mSentEpochMillis, mContext.timers().epochMillis());
        if (mSuspicion.mayRetry(failure, crash, wanted)) {
            repeat(failure, refusal);
        } else if (mRelay.begun()) {
            mContext.events().log(LogEvent.ANSWER_CUT, EventField.of("failure", failure));
            end(() -> mRelay.cut(refusal));
        } else {
            refuse(refusal);
        }
    }

    /** A call that did not run cost no server anything, so that its repetition is free. */
    private void repeat(BackendFailure failure, Refusal refusal) {
        if (failure.provesNotRun()) {
            tryNext();
            return;
        }
        mContext.admission()
                .retryBudget()
                .acquire(mRequest.service().name())
                .thenAccept(
                        granted -> {
                            if (granted) {
                                tryNext();
                            } else {
                                refuse(refusal);
                            }
                        });
    }

    private void onDeadline() {
        if (mEnded) {
            abortUndelivered();
            return;
        }
        Refusal refusal =
                Refusal.of(
                        RefusalCode.DEADLINE_EXCEEDED,
                        "took longer than " + limits().deadlineMillis() + " ms");
        // The caller gets as long to read its refusal as a server to say something.
        mDeadline =
                mContext.timers()
                        .after(Duration.ofMillis(limits().silenceMillis()), this::abortUndelivered);
        giveUpAttempt();
        if (!mRelay.begun()) {
            refuse(refusal);
        } else if (mWritable) {
            end(() -> mRelay.cut(refusal));
        } else {
            // A caller that does not read would hold its connection and what waits in it for ever.
            end(mResponse::abort);
        }
    }

    private void abortUndelivered() {
        if (!mDelivered) {
            mResponse.abort();
        }
    }

    private void refuse(Refusal refusal) {
        Refusal truthful = refusal.afterSending(mMayHaveRun);
        mContext.events()
                .log(
                        LogEvent.REQUEST_REFUSED,
                        EventField.of("code", truthful.code().label()),
                        EventField.of("account", mRequest.account().name()));
        mContext.metrics().refused(truthful.code());
        end(() -> truthful.sendTo(mResponse));
    }

    private void end(Runnable answer) {
        end(mMayHaveRun ? ExchangeClaim.End.MAY_HAVE_RUN : ExchangeClaim.End.NOT_RUN, answer);
    }

    /** Ends the exchange for the caller at once, and for the router when all is delivered. */
    private void end(ExchangeClaim.End end, Runnable answer) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mQueueEntry.leave();
        mSuspicion.end(end == ExchangeClaim.End.ANSWERED);
        if (mCallerGone) {
            mDelivered = true;
        } else {
            answer.run();
            mResponse.whenDelivered(() -> mContext.timers().execute(this::onDelivered));
        }
        mClaim.settle(end).thenAccept(settled -> onSettled());
    }

    private void onDelivered() {
        mDelivered = true;
        closeIfDone();
    }

    private void onSettled() {
        mSettled = true;
        closeIfDone();
    }

    private void closeIfDone() {
        if (mDelivered && mSettled && !mClosed) {
            mClosed = true;
            mDeadline.cancel();
            mOnEnd.run();
        }
    }

    private void giveUpAttempt() {
        if (mAttempt != null) {
            mMayHaveRun = true;
            mAttempt.giveUp();
            mAttempt = null;
        }
    }

    @Override
    public void onWritable(boolean writable) {
        mWritable = writable;
        if (mAttempt != null) {
            mAttempt.flow(writable);
        }
    }

    @Override
    public void onGone() {
        mCallerGone = true;
        if (mEnded) {
            onDelivered();
            return;
        }
        if (mClaim.held() && mAttempt != null) {
            mRelay.detach();
            onWritable(true);
        } else {
            giveUpAttempt();
            end(() -> {});
        }
    }

    private RequestSettings limits() {
        return mRequest.settings().request();
    }

    /** What a request does that waits because all servers are full. */
    private final class Waiting implements AdmissionQueue.EntryListener {
        @Override
        public void onTurn() {
            route();
        }

        @Override
        public void onRefused() {
            refuseOverloaded();
        }
    }
}
