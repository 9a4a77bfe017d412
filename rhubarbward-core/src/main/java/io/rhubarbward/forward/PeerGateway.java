package io.rhubarbward.forward;

import io.rhubarbward.reach.PeerHeaders;
import io.rhubarbward.reach.PeerRefusal;
import io.rhubarbward.reach.ReachState;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.request.Refusal;
import io.rhubarbward.request.RefusalCode;
import io.rhubarbward.request.RunState;
import io.vavr.control.Try;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Serves requests that other routers forward since they reach no backend server themselves.
 *
 * <p>A forwarded request is served like a caller's, by this router's own catalogue, budgets and
 * knowledge of the servers, but is never forwarded once more. This router declines while it reaches
 * no server itself, stops, is behind with its work, or has an older catalogue.
 */
public final class PeerGateway {
    /** Lag of the event loop from which this router takes no further requests of others. */
    private static final long MAX_LAG_MILLIS = 200;

    /** Requests of callers and routers together above which those of routers are declined. */
    private static final int MAX_OPEN_REQUESTS = 1500;

    /** Retry-after of a declined request, in which its router finds another one. */
    private static final long DECLINED_RETRY_MILLIS = 400;

    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final ForwardingService mForwarding;
    private final ForwardContext mContext;
    private final BooleanSupplier mTakesRequests;
    private final LongSupplier mCatalogVersion;
    private final Predicate<String> mIsRouter;

    /**
     * Creates a gateway to the forwarding service.
     *
     * @param takesRequests whether this router knows the servers and is not stopping
     * @param catalogVersion returns the version of the catalogue in force
     * @param isRouter whether a VM name is that of a listed router
     */
    public PeerGateway(
            ForwardingService forwarding,
            ForwardContext context,
            BooleanSupplier takesRequests,
            LongSupplier catalogVersion,
            Predicate<String> isRouter) {
        mForwarding = forwarding;
        mContext = context;
        mTakesRequests = takesRequests;
        mCatalogVersion = catalogVersion;
        mIsRouter = isRouter;
    }

    /** Answers a query, or serves a forwarded request. */
    public CallerListener serve(CallerRequest request, CallerResponse response) {
        if (request.headers().first(PeerHeaders.QUERY_BY).isPresent()) {
            return answerQuery(request, response);
        }
        PeerResponse peerResponse = new PeerResponse(response, attemptId(request));
        Optional<String> router =
                request.headers().first(PeerHeaders.FORWARDED_BY).filter(mIsRouter);
        boolean current = number(request, PeerHeaders.CATALOG_VERSION) <= version();
        if (router.isEmpty() || !current || !willing()) {
            return refuse(
                    peerResponse,
                    new Refusal(
                            RefusalCode.NOT_READY,
                            "this router does not forward, or not for this one",
                            DECLINED_RETRY_MILLIS));
        }
        RequestOrigin origin =
                new RequestOrigin(router.get(), (int) number(request, PeerHeaders.ATTEMPTS_LEFT));
        return mForwarding.serve(
                new CallerRequest(
                        request.method(),
                        request.target(),
                        PeerHeaders.strip(request.headers()),
                        request.body()),
                peerResponse,
                origin);
    }

    private CallerListener answerQuery(CallerRequest query, CallerResponse response) {
        response.begin(
                willing() ? OK : SERVICE_UNAVAILABLE,
                HeaderFields.of("content-length", "0")
                        .with(PeerHeaders.CATALOG_VERSION, Long.toString(version()))
                        .with(
                                PeerHeaders.OPEN_REQUESTS,
                                Integer.toString(mForwarding.openRequests()))
                        .and(attemptId(query)));
        response.finish();
        return ForwardingService.NO_OP_LISTENER;
    }

    /** Returns the field by which the answer names the request; none if the request has no id. */
    private HeaderFields attemptId(CallerRequest request) {
        return mContext.dialect()
                .read(request)
                .map(metadata -> mContext.dialect().attemptId(metadata.attemptId()))
                .getOrElse(HeaderFields.NONE);
    }

    private CallerListener refuse(PeerResponse response, Refusal refusal) {
        response.refuse(refusal, mContext.dialect()::retryAfter);
        return ForwardingService.NO_OP_LISTENER;
    }

    private boolean willing() {
        return mTakesRequests.getAsBoolean()
                && mContext.reach().state() == ReachState.CONNECTED
                && mContext.loopLagMillis().getAsLong() <= MAX_LAG_MILLIS
                && mForwarding.openRequests() < MAX_OPEN_REQUESTS;
    }

    private long version() {
        return mCatalogVersion.getAsLong();
    }

    private static long number(CallerRequest request, String header) {
        return request.headers()
                .first(header)
                .flatMap(text -> Try.of(() -> Long.valueOf(text)).toJavaOptional())
                .orElse(0L);
    }

    /** The response to another router; marks this router's own refusals. */
    private final class PeerResponse implements CallerResponse {
        private final CallerResponse mDelegate;
        private final HeaderFields mAttemptId;
        private OptionalLong mServer = OptionalLong.empty();

        /**
         * Creates a response that has not begun.
         *
         * @param attemptId the header field that names the request
         */
        PeerResponse(CallerResponse delegate, HeaderFields attemptId) {
            mDelegate = delegate;
            mAttemptId = attemptId;
        }

        @Override
        public void answeredBy(long incarnation) {
            mServer = OptionalLong.of(incarnation);
        }

        @Override
        public void begin(int status, HeaderFields headers) {
            HeaderFields answer = PeerHeaders.strip(headers);
            boolean leaving = mContext.dialect().readAnswer(status, answer).leaving();
            mDelegate.begin(
                    status,
                    leaving && mServer.isPresent()
                            ? answer.with(PeerHeaders.SERVER, Long.toString(mServer.getAsLong()))
                            : answer);
        }

        @Override
        public void write(ByteBuffer part) {
            mDelegate.write(part);
        }

        @Override
        public void finish() {
            mDelegate.finish();
        }

        @Override
        public void abort() {
            mDelegate.abort();
        }

        @Override
        public void whenDelivered(Runnable action) {
            mDelegate.whenDelivered(action);
        }

        @Override
        public boolean callerPresent() {
            return mDelegate.callerPresent();
        }

        @Override
        public void refuse(Refusal refusal, LongFunction<HeaderFields> retryAfter) {
            PeerRefusal marked =
                    new PeerRefusal(
                            refusal.code(),
                            refusal.retryAfterMillis(),
                            refusal.runState() != RunState.NOT_RUN);
            mDelegate.begin(
                    refusal.code().status(),
                    HeaderFields.of("content-length", "0")
                            .with(PeerHeaders.REFUSAL, marked.encode())
                            .and(mAttemptId));
            mDelegate.finish();
        }
    }
}
