package io.rhubarbward.request;

import io.rhubarbward.admission.AdmissionQueue;
import io.rhubarbward.config.BackendServer;
import io.rhubarbward.config.RequestSettings;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.quota.QuotaKey;
import io.rhubarbward.quota.QuotaService.QuotaPermit;
import io.rhubarbward.quota.QuotaService.QuotaRefusal;
import io.rhubarbward.request.claim.ClaimResult;
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
 * Serves one caller's request, from its acceptance until its answer is delivered.
 *
 * <p>It tries backend servers in the routing policy's order until one answers. If a request that
 * may run only once has an idempotency key, the key is claimed before the first byte is sent. The
 * exchange then continues even if its caller disconnects, so that the answer can be stored.
 */
final class Exchange implements CallerListener, Attempt.Listener {
    private static final long RETRY_AFTER_MILLIS = 1000;
    private static final String REPLAYED_HEADER = "idempotency-replayed";

    private final AcceptedRequest mRequest;
    private final ExchangeContext mContext;
    private final AnswerRelay mRelay;
    private final CallerResponse mResponse;
    private final ExchangeClaim mClaim;
    private final ExchangeQuarantine mQuarantine;
    private final Runnable mOnClosed;
    private TimerService.Subscription mDeadlineTimer;
    private Deque<BackendServer> mCandidates = new ArrayDeque<>();
    private int mAttemptCount;
    private long mLastSentEpochMillis;
    private long mRetryAfterMillis = RETRY_AFTER_MILLIS;
    private final AdmissionQueue.Entry mQueueEntry;
    private @Nullable Attempt mAttempt;
    private boolean mMayHaveRun;
    private boolean mCallerWritable = true;
    private boolean mCallerDisconnected;
    private boolean mEnded;
    private boolean mDelivered;
    private boolean mClaimSettled;
    private boolean mClosed;

    Exchange(
            AcceptedRequest request,
            CallerResponse response,
            ExchangeContext context,
            Runnable onClosed) {
        mRequest = request;
        mResponse = response;
        mContext = context;
        mOnClosed = onClosed;
        mRelay = new AnswerRelay(request.service(), response);
        mClaim = new ExchangeClaim(request, context.claims());
        mQueueEntry =
                context.admission()
                        .queue()
                        .newEntry(request.service().name(), request.account(), new QueueListener());
        mQuarantine = new ExchangeQuarantine(request, context.quarantine());
        mDeadlineTimer =
                context.timers()
                        .afterReading(
                                Duration.ofMillis(limits().deadlineMillis()), () -> onDeadline());
    }

    void start() {
        mContext.admission()
                .admit(mRequest.account())
                .thenAccept(
                        admitted ->
                                admitted.peek(permit -> checkQuarantine())
                                        .peekLeft(this::refuseAccount));
    }

    private void refuseAccount(QuotaRefusal refusal) {
        refuse(
                new Refusal(
                        RefusalCode.ACCOUNT_OVER_LIMIT,
                        "client account " + mRequest.account().name() + " is over its rate",
                        Math.max(1, refusal.retryAfterMillis())));
    }

    private void checkQuarantine() {
        if (!mEnded) {
            mQuarantine.refusal().ifPresentOrElse(this::refuse, this::routeOrEnqueue);
        }
    }

    private void routeOrEnqueue() {
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
            tryNextCandidate();
        }
    }

    private void tryNextCandidate() {
        if (mEnded) {
            return;
        }
        BackendServer server = mCandidates.poll();
        if (server == null) {
            onAllServersFull();
            return;
        }
        mContext.quotas()
                .acquire(new QuotaKey.BackendConcurrency(server.name()))
                .thenAccept(granted -> onPermit(server, granted));
    }

    private void onAllServersFull() {
        if (mAttemptCount == 0) {
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
            tryNextCandidate();
        } else if (mEnded) {
            granted.get().release();
        } else if (mClaim.needed()) {
            mClaim.acquire().thenAccept(result -> onClaim(server, granted.get(), result));
        } else {
            startAttempt(server, granted.get());
        }
    }

    private void onClaim(BackendServer server, QuotaPermit permit, ClaimResult result) {
        boolean deduplicated =
                result instanceof ClaimResult.StoreUnavailable && mRequest.service().deduplicates();
        if (mEnded) {
            permit.release();
            mClaim.settle(ExchangeClaim.Outcome.NOT_RUN);
        } else if (result instanceof ClaimResult.Granted || deduplicated) {
            mClaim.waive();
            startAttempt(server, permit);
        } else {
            permit.release();
            answerWithoutSending(result);
        }
    }

    /** Answers a request that must not be sent because its key could not be claimed. */
    private void answerWithoutSending(ClaimResult result) {
        if (result instanceof ClaimResult.Answered answered && answered.answer().body() != null) {
            end(() -> replay(answered.answer()));
        } else {
            refuse(ClaimRefusals.of(result));
        }
    }

    private void replay(StoredAnswer answer) {
        mContext.metrics().countAnswered(mRequest.service().name());
        mResponse.begin(
                answer.status(), new HeaderFields(answer.headers()).with(REPLAYED_HEADER, "true"));
        mResponse.write(answer.bodyBytes());
        mResponse.finish();
    }

    private void startAttempt(BackendServer server, QuotaPermit permit) {
        mAttemptCount++;
        mQueueEntry.onCapacityFound();
        mLastSentEpochMillis = mContext.timers().epochMillis();
        mAttempt = new Attempt(mRequest, mContext, server, permit, mCallerWritable, this);
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
    public boolean answerComplete() {
        return mRelay.answerComplete();
    }

    @Override
    public void onComplete() {
        mAttempt = null;
        mContext.metrics().countAnswered(mRequest.service().name());
        end(ExchangeClaim.Outcome.ANSWERED, mRelay::finish);
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
        boolean retryWanted =
                !mRelay.hasBegun()
                        && mRequest.retryPolicy().mayRetry(failure)
                        && mAttemptCount < limits().maxAttempts()
                        && !mCandidates.isEmpty();
        Crash crash =
                new Crash(server.name(), mLastSentEpochMillis, mContext.timers().epochMillis());
        if (mQuarantine.recordFailure(failure, crash, retryWanted)) {
            retry(failure, refusal);
        } else if (mRelay.hasBegun()) {
            mContext.events().log(LogEvent.ANSWER_CUT, EventField.of("failure", failure));
            end(() -> mRelay.cut(refusal));
        } else {
            refuse(refusal);
        }
    }

    /**
     * Retries. A request that certainly did not run cost no server any work, so its retry does not
     * count against the retry budget.
     */
    private void retry(BackendFailure failure, Refusal refusal) {
        if (failure.provesNotRun()) {
            tryNextCandidate();
            return;
        }
        mContext.admission()
                .retryBudget()
                .acquire(mRequest.service().name())
                .thenAccept(
                        granted -> {
                            if (granted) {
                                tryNextCandidate();
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
        // The caller may take as long to read the refusal as a backend server may stay silent.
        mDeadlineTimer =
                mContext.timers()
                        .after(Duration.ofMillis(limits().silenceMillis()), this::abortUndelivered);
        cancelAttempt();
        if (!mRelay.hasBegun()) {
            refuse(refusal);
        } else if (mCallerWritable) {
            end(() -> mRelay.cut(refusal));
        } else {
            // A caller that does not read would keep its connection and the unsent data forever.
            end(mResponse::abort);
        }
    }

    private void abortUndelivered() {
        if (!mDelivered) {
            mResponse.abort();
        }
    }

    private void refuse(Refusal refusal) {
        Refusal adjusted = refusal.withRunState(mMayHaveRun);
        mContext.events()
                .log(
                        LogEvent.REQUEST_REFUSED,
                        EventField.of("code", adjusted.code().label()),
                        EventField.of("account", mRequest.account().name()));
        mContext.metrics().countRefused(adjusted.code());
        end(() -> adjusted.sendTo(mResponse));
    }

    private void end(Runnable answer) {
        end(
                mMayHaveRun ? ExchangeClaim.Outcome.MAY_HAVE_RUN : ExchangeClaim.Outcome.NOT_RUN,
                answer);
    }

    /**
     * Ends the exchange, after which it accepts no more progress. It is closed when the answer is
     * delivered and the claim is settled.
     */
    private void end(ExchangeClaim.Outcome outcome, Runnable answer) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mQueueEntry.leave();
        mQuarantine.end(outcome == ExchangeClaim.Outcome.ANSWERED);
        if (mCallerDisconnected) {
            mDelivered = true;
        } else {
            answer.run();
            mResponse.whenDelivered(() -> mContext.timers().execute(this::onDelivered));
        }
        mClaim.settle(outcome).thenAccept(settled -> onClaimSettled());
    }

    private void onDelivered() {
        mDelivered = true;
        closeIfDone();
    }

    private void onClaimSettled() {
        mClaimSettled = true;
        closeIfDone();
    }

    private void closeIfDone() {
        if (mDelivered && mClaimSettled && !mClosed) {
            mClosed = true;
            mDeadlineTimer.cancel();
            mOnClosed.run();
        }
    }

    private void cancelAttempt() {
        if (mAttempt != null) {
            mMayHaveRun = true;
            mAttempt.cancel();
            mAttempt = null;
        }
    }

    @Override
    public void onWritable(boolean writable) {
        mCallerWritable = writable;
        if (mAttempt != null) {
            mAttempt.onCallerWritable(writable);
        }
    }

    @Override
    public void onGone() {
        mCallerDisconnected = true;
        if (mEnded) {
            onDelivered();
            return;
        }
        if (mClaim.held() && mAttempt != null) {
            mRelay.detach();
            onWritable(true);
        } else {
            cancelAttempt();
            end(() -> {});
        }
    }

    private RequestSettings limits() {
        return mRequest.settings().request();
    }

    /** Continues the exchange after its wait in the queue, or refuses the request. */
    private final class QueueListener implements AdmissionQueue.EntryListener {
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
