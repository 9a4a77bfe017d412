package io.rhubarbward.forward;

import io.rhubarbward.catalog.Route;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.placement.Placement;
import io.rhubarbward.placement.PlacementQuery;
import io.rhubarbward.placement.SendResult;
import io.rhubarbward.placement.TrackedServer;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.request.Refusal;
import io.rhubarbward.request.RefusalCode;
import io.rhubarbward.timer.TimerService;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * One caller's request from its acceptance to the end of its answer.
 *
 * <p>A request is sent again only if no server may have run it, or if it may run more than once.
 * Once any of an answer has been passed on, it is finished or visibly cut.
 */
final class Forwarding implements CallerListener, ServerCall.Owner {
    static final int MISDIRECTED = 421;
    private static final int SERVER_ERROR = 500;

    /** Statuses that promise a caller that its request has not run. */
    private static final Set<Integer> PROMISES = Set.of(408, MISDIRECTED, 429, 503);

    /** Sends beyond the route's attempts that may follow refusals by servers. */
    private static final int EXTRA_SENDS = 2;

    /** Time below which a send is of no use: servers stop at the deadline. */
    private static final long SHORTEST_SEND_MILLIS = 20;

    /** When to come back after all servers were found full or failing. */
    private static final long RETRY_AFTER_MILLIS = 400;

    private final ForwardRequest mRequest;
    private final CallerResponse mResponse;
    private final ForwardContext mContext;
    private final Consumer<Forwarding> mOnEnd;
    private final Set<String> mTried = new HashSet<>();
    private final long mArrivedMillis;
    private final long mDeadlineMillis;
    private TimerService.Subscription mTimeout = () -> {};
    private @Nullable ServerCall mCall;
    private int mSends;
    private int mRuns;
    private boolean mBegun;
    private boolean mFirstByte;
    private boolean mEnded;
    private int mStatus;

    Forwarding(
            ForwardRequest request,
            CallerResponse response,
            ForwardContext context,
            Consumer<Forwarding> onEnd) {
        mRequest = request;
        mResponse = response;
        mContext = context;
        mOnEnd = onEnd;
        mArrivedMillis = context.timers().nowMillis();
        mDeadlineMillis = mArrivedMillis + patience(request).toMillis();
    }

    private static Duration patience(ForwardRequest request) {
        Duration timeout = request.route().timeout();
        return request.facts()
                .callerTimeout()
                .filter(patience -> patience.compareTo(timeout) < 0)
                .orElse(timeout);
    }

    void start() {
        mTimeout =
                mContext.timers()
                        .after(
                                Duration.ofMillis(mDeadlineMillis - mArrivedMillis),
                                this::onTimeout);
        place();
    }

    private void place() {
        long remaining = mDeadlineMillis - mContext.timers().nowMillis();
        if (remaining < SHORTEST_SEND_MILLIS) {
            refuse(RefusalCode.DEADLINE_EXCEEDED, "no time is left");
            return;
        }
        Placement placement =
                mContext.policy()
                        .place(
                                new PlacementQuery(
                                        mRequest.service().name(),
                                        mRequest.affinity(),
                                        mRequest.sharedTokens(),
                                        ForwardRequest.point(mRequest.facts().attemptId()),
                                        mTried),
                                mRequest.service());
        if (placement instanceof Placement.Chosen chosen) {
            send(chosen, remaining);
        } else if (placement instanceof Placement.None none) {
            refuseUnplaced(none);
        }
    }

    private void refuseUnplaced(Placement.None none) {
        RefusalCode code =
                none.cause() == Placement.Cause.FULL
                        ? RefusalCode.OVERLOADED
                        : RefusalCode.NO_BACKEND;
        refuse(
                code,
                none.cause() + " among " + none.candidates() + " of " + mRequest.service().name());
    }

    private void send(Placement.Chosen chosen, long remainingMillis) {
        if (mRequest.account() != null && !mContext.freshness().mayTrustKeys()) {
            refuse(RefusalCode.NOT_READY, "the configuration is no longer confirmed");
            return;
        }
        TrackedServer server = chosen.server();
        mTried.add(server.server().name());
        mSends++;
        mContext.events()
                .log(
                        LogEvent.REQUEST_SENT,
                        EventField.of("id", mRequest.facts().attemptId()),
                        EventField.of("route", mRequest.route().name()),
                        EventField.of("server", server.server().name()),
                        EventField.of("reason", chosen.reason()),
                        EventField.of("send", mSends),
                        EventField.of("inFlight", server.inFlight()),
                        EventField.of("remainingMs", remainingMillis));
        ServerCall call = new ServerCall(mRequest, mContext, server, this);
        mCall = call;
        call.send(Duration.ofMillis(remainingMillis));
    }

    @Override
    public void onNotRun(TrackedServer server, int status) {
        mCall = null;
        boolean wanted = mRuns == 0 && mSends < route().maxAttempts() + EXTRA_SENDS;
        if (wanted && mContext.retries().take(mRequest.service().name())) {
            place();
        } else {
            refuse(RefusalCode.OVERLOADED, server.server().name() + " answered " + status);
        }
    }

    @Override
    public void onHead(int status, HeaderFields headers) {
        mStatus = status;
        if (status >= SERVER_ERROR && repeatAfterError(status)) {
            return;
        }
        mBegun = true;
        if (PROMISES.contains(status)) {
            // The server does not say that it left the request alone, so that nobody may promise
            // it.
            ServerCall call = mCall;
            mCall = null;
            if (call != null) {
                call.cancel(SendResult.SERVER_ERROR);
            }
            mBegun = false;
            mRuns++;
            refuse(RefusalCode.BACKEND_LOST, "the server answered " + status);
            return;
        }
        mResponse.begin(status, mContext.dialect().toCaller(headers));
    }

    private boolean repeatAfterError(int status) {
        boolean wanted = route().mayRunAgain() && mRuns + 1 < route().maxAttempts();
        if (!wanted || !mContext.retries().take(mRequest.service().name())) {
            return false;
        }
        ServerCall call = mCall;
        mCall = null;
        mRuns++;
        if (call != null) {
            call.cancel(SendResult.SERVER_ERROR);
        }
        place();
        return true;
    }

    @Override
    public void onPart(ByteBuffer part) {
        if (!mFirstByte) {
            mFirstByte = true;
            mContext.metrics()
                    .firstByte(
                            route().kind().name(), mContext.timers().nowMillis() - mArrivedMillis);
        }
        mResponse.write(part);
    }

    @Override
    public void onWhole() {
        mCall = null;
        end("answered-" + mStatus, mResponse::finish);
    }

    @Override
    public void onFailed(TrackedServer server, SendResult result, boolean mayHaveRun) {
        mCall = null;
        if (mBegun) {
            end("cut-" + result, mResponse::abort);
            return;
        }
        if (mayHaveRun) {
            mRuns++;
        }
        if (mayRepeat(mayHaveRun)) {
            place();
        } else {
            refuse(
                    result == SendResult.SILENT
                            ? RefusalCode.BACKEND_SILENT
                            : RefusalCode.BACKEND_LOST,
                    server.server().name() + ": " + result);
        }
    }

    private boolean mayRepeat(boolean mayHaveRun) {
        if (mSends >= route().maxAttempts() + EXTRA_SENDS) {
            return false;
        }
        if (!mayHaveRun) {
            return mRuns == 0 || route().mayRunAgain();
        }
        return route().mayRunAgain()
                && mRuns < route().maxAttempts()
                && mContext.retries().take(mRequest.service().name());
    }

    private void onTimeout() {
        ServerCall call = mCall;
        mCall = null;
        if (call != null) {
            call.cancel(mBegun ? SendResult.CANCELLED : SendResult.TIMED_OUT);
            mRuns++;
        }
        if (mBegun) {
            end("cut-timeout", mResponse::abort);
        } else {
            refuse(RefusalCode.DEADLINE_EXCEEDED, "no answer in time");
        }
    }

    /** Refuses; a request that may have run is never said not to have. */
    private void refuse(RefusalCode code, String detail) {
        boolean mayHaveRun = mRuns > 0;
        RefusalCode truthful = mayHaveRun ? unknownOutcome(code) : notRun(code);
        long retryAfter = mayHaveRun ? 0 : RETRY_AFTER_MILLIS;
        Refusal refusal = new Refusal(truthful, detail, retryAfter).afterSending(mayHaveRun);
        end(
                "refused-" + truthful.label() + ": " + detail,
                () -> refusal.sendTo(mResponse, mContext.dialect()::retryAfter));
    }

    private static RefusalCode unknownOutcome(RefusalCode code) {
        return switch (code) {
            case DEADLINE_EXCEEDED, BACKEND_SILENT -> code;
            default -> RefusalCode.BACKEND_LOST;
        };
    }

    private static RefusalCode notRun(RefusalCode code) {
        return switch (code) {
            case OVERLOADED, NOT_READY, DEADLINE_EXCEEDED -> code;
            default -> RefusalCode.NO_BACKEND;
        };
    }

    private void end(String outcome, Runnable answer) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mTimeout.cancel();
        long took = mContext.timers().nowMillis() - mArrivedMillis;
        String kind = route().kind().name();
        mContext.metrics().request(kind, outcome.split(":", 2)[0]);
        mContext.metrics().total(kind, took);
        mContext.events()
                .log(
                        LogEvent.REQUEST_ENDED,
                        EventField.of("id", mRequest.facts().attemptId()),
                        EventField.of("route", route().name()),
                        EventField.of("outcome", outcome),
                        EventField.of("sends", mSends),
                        EventField.of("mayHaveRun", mRuns > 0 || mBegun),
                        EventField.of("tookMs", took));
        answer.run();
        mOnEnd.accept(this);
    }

    @Override
    public void onWritable(boolean writable) {
        if (mCall != null) {
            mCall.flow(writable);
        }
    }

    @Override
    public void onGone() {
        ServerCall call = mCall;
        mCall = null;
        if (call != null) {
            call.cancel(SendResult.CANCELLED);
        }
        end("caller-gone", () -> {});
    }

    private Route route() {
        return mRequest.route();
    }
}
