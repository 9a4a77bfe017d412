package io.rhubarbward.forward;

import io.rhubarbward.catalog.Route;
import io.rhubarbward.crash.CrashSuspects;
import io.rhubarbward.placement.Placement;
import io.rhubarbward.placement.SendResult;
import io.rhubarbward.placement.TrackedServer;
import io.rhubarbward.reach.ForwardingPeer;
import io.rhubarbward.reach.PeerRefusal;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.request.Refusal;
import io.rhubarbward.request.RefusalCode;
import io.rhubarbward.timer.TimerService;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * A caller's accepted request while it is forwarded, until the end of its answer.
 *
 * <p>A request is retried only if no server may have run it, or if its route allows it to run more
 * than once. A request that waits for room has been sent nowhere. Once an answer has begun to reach
 * the caller, it is either completed or the caller's connection is aborted, so that the caller
 * notices the incomplete answer.
 */
final class ForwardedExchange
        implements CallerListener,
                ServerCall.Listener,
                PeerCall.Listener,
                ExchangeAdmission.Listener {
    static final int MISDIRECTED_STATUS = 421;
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    /** Statuses that assure a caller that its request did not run. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, MISDIRECTED_STATUS, 429, 503);

    /**
     * Sends allowed beyond the route's maximum number of attempts, since servers may decline a
     * request without running it.
     */
    private static final int MAX_EXTRA_SENDS = 2;

    /** Remaining time below which sending is pointless: servers stop at the deadline. */
    private static final long MIN_REMAINING_MILLIS = 20;

    /** Time unread after which callers try another router, for requests that may run again. */
    private static final long MAX_UNREAD_MILLIS = 1000;

    /** The same as a part of the caller's time, if that is shorter. */
    private static final long MAX_UNREAD_PART = 3;

    private final ResolvedRequest mRequest;
    private final CallerResponse mResponse;
    private final ForwardContext mContext;
    private final Consumer<ForwardedExchange> mOnEnd;
    private final Set<String> mTriedServers = new HashSet<>();
    private final PeerForwarder mPeerForwarder;
    private final ExchangeAdmission mAdmission;
    private final ExchangeEvents mEvents;
    private final long mLagMillis;
    private final long mArrivedMillis;
    private final long mDeadlineMillis;
    private TimerService.Subscription mDeadlineTimer = () -> {};
    private @Nullable OpenCall mCall;
    private int mSends;
    private int mPossibleRuns;
    private boolean mAnswerBegun;
    private boolean mFirstByteSeen;
    private boolean mEnded;
    private int mStatus;
    private String mAnsweredBy = "";
    private boolean mKeptConnection;

    ForwardedExchange(
            ResolvedRequest request,
            CallerResponse response,
            ForwardContext context,
            Consumer<ForwardedExchange> onEnd) {
        mRequest = request;
        mResponse = response;
        mContext = context;
        mOnEnd = onEnd;
        mEvents = new ExchangeEvents(request, context);
        mPeerForwarder = new PeerForwarder(request, context, this);
        mLagMillis = context.loopLagMillis().getAsLong();
        mArrivedMillis = context.timers().nowMillis() - mLagMillis;
        mDeadlineMillis = mArrivedMillis + request.timeout().toMillis();
        mAdmission = new ExchangeAdmission(request, context, this, mArrivedMillis, mDeadlineMillis);
    }

    void start() {
        if (mEnded) {
            return;
        }
        long timeoutMillis = mDeadlineMillis - mArrivedMillis;
        if (route().mayRunAgain()
                && mLagMillis > Math.min(MAX_UNREAD_MILLIS, timeoutMillis / MAX_UNREAD_PART)) {
            refuse(RefusalCode.OVERLOADED, "waited " + mLagMillis + " ms to be read");
            return;
        }
        mDeadlineTimer =
                mContext.timers()
                        .afterReading(
                                Duration.ofMillis(Math.max(0, remainingMillis())), this::onTimeout);
        placeAndSend();
    }

    private long remainingMillis() {
        return mDeadlineMillis - mContext.timers().nowMillis();
    }

    private void placeAndSend() {
        if (!mResponse.callerPresent()) {
            onGone();
            return;
        }
        long remainingMillis = remainingMillis();
        if (remainingMillis < MIN_REMAINING_MILLIS) {
            refuse(RefusalCode.DEADLINE_EXCEEDED, "no time is left");
            return;
        }
        if (refuseIfBlocked()) {
            return;
        }
        if (mPeerForwarder.onlyWay()) {
            mPeerForwarder
                    .call()
                    .ifPresentOrElse(
                            call -> forward(call, remainingMillis),
                            () ->
                                    refuse(
                                            RefusalCode.NO_BACKEND,
                                            "neither this router nor another one that it asked"
                                                    + " reaches a backend server"));
            return;
        }
        if (mSends > 0 && forwardIfInDoubt(remainingMillis)) {
            return;
        }
        // The retry budget bounds what is sent again.
        if (sentBefore() || mAdmission.admit()) {
            place(remainingMillis);
        }
    }

    private boolean sentBefore() {
        return mSends > 0 || mPossibleRuns > 0;
    }

    @Override
    public void onAdmitted() {
        placeAndSend();
    }

    @Override
    public void onPutOff(Refusal refusal) {
        end(refusal.withRunState(mPossibleRuns > 0));
    }

    private void place(long remainingMillis) {
        Placement placement =
                mContext.policy().place(mRequest.placementQuery(mTriedServers), mRequest.service());
        if (placement instanceof Placement.Chosen chosen) {
            send(chosen, remainingMillis);
        } else if (placement instanceof Placement.None none && !forwardIfInDoubt(remainingMillis)) {
            waitOrRefuse(none);
        }
    }

    private void waitOrRefuse(Placement.None none) {
        boolean mayWait = none.cause() == Placement.Cause.FULL && !sentBefore();
        if (!mayWait || !mAdmission.putOff()) {
            end(TruthfulRefusals.ofUnplaced(none, mRequest.service().name(), mPossibleRuns > 0));
        }
    }

    /** Forwards the request if this router's links are in doubt; returns whether it did. */
    private boolean forwardIfInDoubt(long remainingMillis) {
        Optional<PeerCall> call = mPeerForwarder.callIfInDoubt();
        call.ifPresent(found -> forward(found, remainingMillis));
        return call.isPresent();
    }

    private void forward(PeerCall call, long remainingMillis) {
        if (mRequest.account() != null && !mContext.freshness().mayTrustKeys()) {
            refuse(RefusalCode.NOT_READY, "the configuration is no longer confirmed");
            return;
        }
        mEvents.onForwarded(call.peer(), remainingMillis);
        mAdmission.moveToOtherRouter();
        mCall = call;
        call.send(Duration.ofMillis(remainingMillis), maxAttempts() - mPossibleRuns);
    }

    @Override
    public void onPeerRefused(ForwardingPeer peer, PeerRefusal refusal) {
        mCall = null;
        if (refusal.othersMayServe()) {
            mContext.peers().onUnable(peer);
            placeAndSend();
            return;
        }
        if (refusal.mayHaveRun()) {
            mPossibleRuns++;
        }
        refuse(refusal.code(), "router " + peer.name(), refusal.retryAfterMillis());
    }

    @Override
    public void onPeerFailed(ForwardingPeer peer, SendResult result, boolean mayHaveRun) {
        mCall = null;
        mContext.peers().onUnable(peer);
        if (mAnswerBegun) {
            end("cut-" + result, mResponse::abort);
            return;
        }
        if (mayHaveRun) {
            mPossibleRuns++;
        }
        if (mayRetry(mayHaveRun)) {
            placeAndSend();
        } else {
            refuse(RefusalCode.BACKEND_LOST, "router " + peer.name() + ": " + result);
        }
    }

    /**
     * Moves the request to another router, if its answer has not begun, now that this router has
     * turned out to be cut off from the servers.
     */
    void onCutOff() {
        if (mAdmission.waiting() && mPeerForwarder.onlyWay()) {
            mAdmission.moveToOtherRouter();
            placeAndSend();
            return;
        }
        OpenCall call = mCall;
        if (!(call instanceof ServerCall) || mAnswerBegun) {
            return;
        }
        boolean mayHaveRun = call.mayHaveBeenSent();
        if (mayHaveRun && !mayRetryAfterRun()) {
            return;
        }
        mCall = null;
        call.cancel(SendResult.CANCELLED);
        if (mayHaveRun) {
            mPossibleRuns++;
        }
        placeAndSend();
    }

    /** Refuses the request if it waits for room, since the router stops. */
    void onStopBegins(Refusal refusal) {
        if (mAdmission.waiting()) {
            onPutOff(refusal);
        }
    }

    /** Returns whether the request may be sent once more if the open call may have run it. */
    private boolean mayRetryAfterRun() {
        return route().mayRunAgain()
                && mPossibleRuns + 1 < maxAttempts()
                && mContext.retryBudget().tryAcquire(mRequest.service().name());
    }

    private int maxAttempts() {
        return Math.min(route().maxAttempts(), mRequest.origin().attemptsLeft());
    }

    /** Refuses a request that would crash its server; returns whether it did. */
    private boolean refuseIfBlocked() {
        CrashSuspects suspects = mContext.crashSuspects();
        long blockedMillis = suspects.blocksNone() ? 0 : suspects.blockedMillis(mRequest.traits());
        if (blockedMillis == 0) {
            return false;
        }
        refuse(
                RefusalCode.CRASHES_SERVERS,
                "servers crashed during requests with the same part or content",
                blockedMillis);
        return true;
    }

    private void send(Placement.Chosen chosen, long remainingMillis) {
        if (mRequest.account() != null && !mContext.freshness().mayTrustKeys()) {
            refuse(RefusalCode.NOT_READY, "the configuration is no longer confirmed");
            return;
        }
        TrackedServer server = chosen.server();
        mTriedServers.add(server.server().name());
        mSends++;
        mEvents.onSent(chosen, mSends, remainingMillis);
        mAdmission.onSent();
        ServerCall call = new ServerCall(mRequest, mContext, server, this);
        mCall = call;
        call.send(Duration.ofMillis(remainingMillis));
    }

    @Override
    public void onNotRun(TrackedServer server, int status) {
        mCall = null;
        boolean retryable = mPossibleRuns == 0 && mSends < maxAttempts() + MAX_EXTRA_SENDS;
        if (retryable && mContext.retryBudget().tryAcquire(mRequest.service().name())) {
            placeAndSend();
        } else {
            refuse(RefusalCode.OVERLOADED, server.server().name() + " answered " + status);
        }
    }

    @Override
    public void onHead(int status, HeaderFields headers) {
        mStatus = status;
        if (mCall != null) {
            mAnsweredBy = mCall.receiver();
            mKeptConnection = mCall.connection().kept();
        }
        boolean fromServer = mCall instanceof ServerCall;
        if (status >= MIN_SERVER_ERROR_STATUS && fromServer && retryAfterError()) {
            return;
        }
        mAnswerBegun = true;
        if (NOT_RUN_STATUSES.contains(status)) {
            // The server does not state that it did not run the request, so the caller must not be
            // given a status that says so.
            OpenCall call = mCall;
            mCall = null;
            if (call != null) {
                call.cancel(SendResult.SERVER_ERROR);
            }
            mAnswerBegun = false;
            mPossibleRuns++;
            refuse(RefusalCode.BACKEND_LOST, "the server answered " + status);
            return;
        }
        if (mCall instanceof ServerCall call) {
            mResponse.answeredBy(call.server().incarnation());
        }
        mResponse.begin(status, mContext.dialect().toCaller(headers));
    }

    private boolean retryAfterError() {
        if (!mayRetryAfterRun()) {
            return false;
        }
        OpenCall call = mCall;
        mCall = null;
        mPossibleRuns++;
        if (call != null) {
            call.cancel(SendResult.SERVER_ERROR);
        }
        placeAndSend();
        return true;
    }

    @Override
    public void onPart(ByteBuffer part) {
        if (!mFirstByteSeen) {
            mFirstByteSeen = true;
            mAdmission.onResponseBegun(mStatus);
            mEvents.onFirstByte(mContext.timers().nowMillis() - mArrivedMillis);
        }
        mResponse.write(part);
    }

    @Override
    public void onComplete() {
        mCall = null;
        mAdmission.onResponseWhole(mStatus);
        end("answered-" + mStatus, mResponse::finish);
    }

    @Override
    public void onFailed(TrackedServer server, SendResult result, boolean mayHaveRun) {
        mCall = null;
        if (mAnswerBegun) {
            end("cut-" + result, mResponse::abort);
            return;
        }
        if (mayHaveRun) {
            mPossibleRuns++;
        }
        if (mayRetry(mayHaveRun)) {
            placeAndSend();
        } else {
            refuse(
                    result == SendResult.SILENT
                            ? RefusalCode.BACKEND_SILENT
                            : RefusalCode.BACKEND_LOST,
                    server.server().name() + ": " + result);
        }
    }

    private boolean mayRetry(boolean mayHaveRun) {
        if (mSends >= maxAttempts() + MAX_EXTRA_SENDS) {
            return false;
        }
        if (!mayHaveRun) {
            return mPossibleRuns == 0 || route().mayRunAgain();
        }
        return route().mayRunAgain()
                && mPossibleRuns < maxAttempts()
                && mContext.retryBudget().tryAcquire(mRequest.service().name());
    }

    private void onTimeout() {
        OpenCall call = mCall;
        mCall = null;
        if (call != null) {
            call.cancel(mAnswerBegun ? SendResult.CANCELLED : SendResult.TIMED_OUT);
            mPossibleRuns++;
        }
        if (mAnswerBegun) {
            end("cut-timeout", mResponse::abort);
        } else {
            refuse(RefusalCode.DEADLINE_EXCEEDED, "no answer in time");
        }
    }

    /** Ends the request now, since the process ends. */
    void onStopEnds() {
        OpenCall call = mCall;
        mCall = null;
        if (call != null) {
            if (call.mayHaveBeenSent()) {
                mPossibleRuns++;
            }
            call.cancel(SendResult.CANCELLED);
        }
        if (mAnswerBegun) {
            end("cut-stop", mResponse::abort);
        } else {
            refuse(RefusalCode.BACKEND_LOST, "this router stops before the answer has come");
        }
    }

    /** Refuses the request, with a code that says "not run" only if no server may have run it. */
    private void refuse(RefusalCode code, String detail) {
        refuse(code, detail, TruthfulRefusals.RETRY_AFTER_MILLIS);
    }

    private void refuse(RefusalCode code, String detail, long notRunRetryAfterMillis) {
        end(TruthfulRefusals.of(code, detail, notRunRetryAfterMillis, mPossibleRuns > 0));
    }

    private void end(Refusal refusal) {
        end(
                "refused-" + refusal.code().label() + ": " + refusal.detail(),
                () -> mResponse.refuse(refusal, mContext.dialect()::retryAfter));
    }

    private void end(String outcome, Runnable sendAnswer) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mDeadlineTimer.cancel();
        mAdmission.end();
        mEvents.onEnded(
                new ExchangeEvents.End(
                        outcome,
                        mAnsweredBy,
                        mStatus,
                        mKeptConnection,
                        mSends,
                        mPossibleRuns > 0 || mAnswerBegun,
                        mContext.timers().nowMillis() - mArrivedMillis));
        sendAnswer.run();
        mOnEnd.accept(this);
    }

    @Override
    public void onWritable(boolean writable) {
        if (mCall != null) {
            mCall.onCallerWritable(writable);
        }
    }

    @Override
    public void onGone() {
        OpenCall call = mCall;
        mCall = null;
        if (call != null) {
            call.cancel(SendResult.CANCELLED);
        }
        end(ExchangeEvents.departureOutcome(mResponse), () -> {});
    }

    private Route route() {
        return mRequest.route();
    }
}
