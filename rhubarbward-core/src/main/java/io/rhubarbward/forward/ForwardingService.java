package io.rhubarbward.forward;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.reach.ReachState;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.request.Refusal;
import io.rhubarbward.request.RefusalCode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Forwards callers' requests to backend servers, as a reverse proxy.
 *
 * <pre>{@code
 * CallerListener connection = forwarding.serve(request, response);
 * connection.onGone();
 * }</pre>
 *
 * <p>All calls are made on the timer service's thread.
 */
public final class ForwardingService {
    /** Retry-after of a stopping router: another one takes its place within two seconds. */
    private static final long DRAINING_RETRY_MILLIS = 200;

    /**
     * Lag of the event loop from which a request waits for one more pass of the loop, which shows
     * whether its caller has left while the request waited to be read.
     */
    private static final long RECHECK_CALLER_LAG_MILLIS = 250;

    private static final Duration ONE_PASS = Duration.ofMillis(1);

    private static final String UNKNOWN_ROUTE_KIND = "none";

    /** Ignores the connection events of a request that has already been answered. */
    static final CallerListener NO_OP_LISTENER =
            new CallerListener() {
                @Override
                public void onWritable(boolean writable) {}

                @Override
                public void onGone() {}
            };

    private final ForwardContext mContext;
    private final RequestResolver mResolver;
    private final Set<ForwardedExchange> mOpenExchanges = new HashSet<>();
    private int mUndelivered;
    private boolean mRefusesNew;
    private long mStopEndsMillis = Long.MAX_VALUE;

    /** Creates a service with these dependencies. */
    public ForwardingService(ForwardContext context) {
        mContext = context;
        mResolver = new RequestResolver(context);
    }

    /** Serves the request; the returned listener expects the events of the caller's connection. */
    public CallerListener serve(CallerRequest request, CallerResponse response) {
        return serve(request, response, RequestOrigin.CALLER);
    }

    CallerListener serve(CallerRequest request, CallerResponse response, RequestOrigin origin) {
        Either<String, RequestMetadata> metadata = mContext.dialect().read(request);
        if (metadata.isLeft()) {
            return refuse(
                    "?", Refusal.of(RefusalCode.MALFORMED_REQUEST, metadata.getLeft()), response);
        }
        String id = metadata.get().attemptId();
        if (mRefusesNew) {
            return refuse(id, stopping(), response);
        }
        return mResolver
                .resolve(request, metadata.get(), origin)
                .fold(
                        refusal -> refuse(id, refusal, response),
                        resolved ->
                                mayOutlastStop(resolved)
                                        ? refuse(id, stopping(), response)
                                        : start(resolved, response));
    }

    private static Refusal stopping() {
        return new Refusal(RefusalCode.DRAINING, "this router is stopping", DRAINING_RETRY_MILLIS);
    }

    private CallerListener refuse(String id, Refusal refusal, CallerResponse response) {
        mContext.metrics().countRequest(UNKNOWN_ROUTE_KIND, refusal.code().label());
        mContext.events()
                .log(
                        LogEvent.REQUEST_REFUSED,
                        EventField.of("id", id),
                        EventField.of("code", refusal.code().label()),
                        EventField.of("detail", refusal.detail()),
                        EventField.of(
                                "catalogAgeMs",
                                mContext.freshness().catalogAgeMillis().getAsLong()));
        response.refuse(refusal, mContext.dialect()::retryAfter);
        return NO_OP_LISTENER;
    }

    private CallerListener start(ResolvedRequest request, CallerResponse response) {
        if (mContext.reach().state() != ReachState.CUT_OFF) {
            mContext.retryBudget().recordRequest(request.service().name());
        }
        ForwardedExchange exchange =
                new ForwardedExchange(request, response, mContext, ended -> close(ended, response));
        mOpenExchanges.add(exchange);
        mContext.metrics().setOpenRequests(mOpenExchanges.size());
        if (mContext.loopLagMillis().getAsLong() > RECHECK_CALLER_LAG_MILLIS) {
            mContext.timers().after(ONE_PASS, exchange::start);
        } else {
            exchange.start();
        }
        return exchange;
    }

    private void close(ForwardedExchange exchange, CallerResponse response) {
        mOpenExchanges.remove(exchange);
        mContext.metrics().setOpenRequests(mOpenExchanges.size());
        mUndelivered++;
        response.whenDelivered(() -> mContext.timers().execute(() -> mUndelivered--));
    }

    /** Moves open requests to other routers if this one has lost the way to the servers. */
    public void onReachState(ReachState state) {
        if (state == ReachState.CUT_OFF) {
            List.copyOf(mOpenExchanges).forEach(ForwardedExchange::onCutOff);
        }
    }

    /** Refuses every new request from now on; open ones continue. */
    public void refuseNew() {
        mRefusesNew = true;
    }

    /**
     * Prepares for the end of the process. Requests that wait for room are refused, since others
     * may serve them; none waits from now on.
     *
     * @param endMillis when open requests must have ended
     */
    public void beginStop(long endMillis) {
        mStopEndsMillis = endMillis;
        mContext.admission().beginStop();
        List.copyOf(mOpenExchanges).forEach(exchange -> exchange.onStopBegins(stopping()));
    }

    /** Ends all open requests, since the process ends; those without an answer get one. */
    public void endOpen() {
        List.copyOf(mOpenExchanges).forEach(ForwardedExchange::onStopEnds);
    }

    /** Returns whether the request may run only once and could still run when the process ends. */
    private boolean mayOutlastStop(ResolvedRequest request) {
        return !request.route().mayRunAgain()
                && !request.route().streams()
                && mContext.timers().nowMillis() + request.timeout().toMillis() > mStopEndsMillis;
    }

    /** Returns the number of requests that are being served. */
    public int openRequests() {
        return mOpenExchanges.size();
    }

    /** Returns the number of answers that have ended and are not written to their callers yet. */
    public int undeliveredAnswers() {
        return mUndelivered;
    }
}
