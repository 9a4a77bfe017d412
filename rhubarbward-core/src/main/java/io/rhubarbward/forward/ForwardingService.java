package io.rhubarbward.forward;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;
import io.rhubarbward.request.Refusal;
import io.rhubarbward.request.RefusalCode;
import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Set;

/**
 * Serves callers' requests by passing them on.
 *
 * <pre>{@code
 * CallerListener open = forwarding.serve(request, response);
 * open.onGone();
 * }</pre>
 *
 * <p>All calls are made on the timer service's thread.
 */
public final class ForwardingService {
    /** When to come back to a router that stops: its place is taken within two seconds. */
    private static final long STOPPING_RETRY_MILLIS = 200;

    private static final String NO_KIND = "none";

    /** Told of a connection whose request is over. */
    private static final CallerListener OVER =
            new CallerListener() {
                @Override
                public void onWritable(boolean writable) {}

                @Override
                public void onGone() {}
            };

    private final ForwardContext mContext;
    private final ForwardGate mGate;
    private final Set<Forwarding> mOpen = new HashSet<>();
    private boolean mRefusing;

    /** Serves in the context. */
    public ForwardingService(ForwardContext context) {
        mContext = context;
        mGate = new ForwardGate(context);
    }

    /** Serves the request; the returned listener is told of the caller's connection. */
    public CallerListener serve(CallerRequest request, CallerResponse response) {
        Either<String, RequestMetadata> facts = mContext.dialect().read(request);
        if (facts.isLeft()) {
            return refuse(
                    "?", Refusal.of(RefusalCode.MALFORMED_REQUEST, facts.getLeft()), response);
        }
        String id = facts.get().attemptId();
        if (mRefusing) {
            return refuse(
                    id,
                    new Refusal(
                            RefusalCode.DRAINING, "this router is stopping", STOPPING_RETRY_MILLIS),
                    response);
        }
        return mGate.check(request, facts.get())
                .fold(
                        refusal -> refuse(id, refusal, response),
                        accepted -> open(accepted, response));
    }

    private CallerListener refuse(String id, Refusal refusal, CallerResponse response) {
        mContext.metrics().request(NO_KIND, refusal.code().label());
        mContext.events()
                .log(
                        LogEvent.REQUEST_REFUSED,
                        EventField.of("id", id),
                        EventField.of("code", refusal.code().label()),
                        EventField.of("detail", refusal.detail()),
                        EventField.of(
                                "catalogAgeMs",
                                mContext.freshness().catalogAgeMillis().getAsLong()));
        refusal.sendTo(response, mContext.dialect()::retryAfter);
        return OVER;
    }

    private CallerListener open(ForwardRequest accepted, CallerResponse response) {
        mContext.retries().request(accepted.service().name());
        Forwarding forwarding = new Forwarding(accepted, response, mContext, this::close);
        mOpen.add(forwarding);
        mContext.metrics().open(mOpen.size());
        forwarding.start();
        return forwarding;
    }

    private void close(Forwarding forwarding) {
        mOpen.remove(forwarding);
        mContext.metrics().open(mOpen.size());
    }

    /** Refuses every request that comes from now on; open ones go on. */
    public void refuseNew() {
        mRefusing = true;
    }

    /** Returns the number of requests that are being served. */
    public int openRequests() {
        return mOpen.size();
    }
}
