package io.rhubarbward.forward;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.placement.Placement;
import io.rhubarbward.placement.TrackedServer;
import io.rhubarbward.reach.ForwardingPeer;
import io.rhubarbward.request.CallerResponse;

/** Writes the log events and metrics of one forwarded request. */
final class ExchangeEvents {
    private final ResolvedRequest mRequest;
    private final ForwardContext mContext;

    ExchangeEvents(ResolvedRequest request, ForwardContext context) {
        mRequest = request;
        mContext = context;
    }

    void onForwarded(ForwardingPeer peer, long remainingMillis) {
        mContext.events()
                .log(
                        LogEvent.REQUEST_FORWARDED,
                        EventField.of("id", mRequest.metadata().attemptId()),
                        EventField.of("route", mRequest.route().name()),
                        EventField.of("router", peer.name()),
                        EventField.of("reach", mContext.reach().state()),
                        EventField.of("remainingMs", remainingMillis));
    }

    void onSent(Placement.Chosen chosen, int sends, long remainingMillis) {
        TrackedServer server = chosen.server();
        mContext.events()
                .log(
                        LogEvent.REQUEST_SENT,
                        EventField.of("id", mRequest.metadata().attemptId()),
                        EventField.of("route", mRequest.route().name()),
                        EventField.of("server", server.server().name()),
                        EventField.of("address", server.server().address()),
                        EventField.of("reason", chosen.reason()),
                        EventField.of("send", sends),
                        EventField.of("forwardedBy", mRequest.origin().router()),
                        EventField.of("inFlight", server.inFlight()),
                        EventField.of("remainingMs", remainingMillis));
    }

    void onFirstByte(long afterMillis) {
        mContext.metrics().observeFirstByte(mRequest.route().kind().name(), afterMillis);
    }

    /** Returns the outcome of a request whose caller's connection was closed, by either side. */
    static String departureOutcome(CallerResponse response) {
        return response.closeCause()
                .map(cause -> "connection-closed: " + cause.label())
                .orElse("caller-gone");
    }

    void onEnded(End end) {
        String kind = mRequest.route().kind().name();
        mContext.metrics().countRequest(kind, end.outcome().split(":", 2)[0]);
        mContext.metrics().observeTotal(kind, end.tookMillis());
        mContext.events()
                .log(
                        LogEvent.REQUEST_ENDED,
                        EventField.of("id", mRequest.metadata().attemptId()),
                        EventField.of("route", mRequest.route().name()),
                        EventField.of("outcome", end.outcome()),
                        EventField.of("answeredBy", end.answeredBy()),
                        EventField.of("status", end.status()),
                        EventField.of("keptConnection", end.keptConnection()),
                        EventField.of("sends", end.sends()),
                        EventField.of("mayHaveRun", end.mayHaveRun()),
                        EventField.of("tookMs", end.tookMillis()));
    }

    /**
     * How a request ended.
     *
     * @param outcome what became of it; after a colon, the detail
     * @param answeredBy the server or router whose answer came last; empty without one
     * @param status the status of that answer; 0 without one
     * @param keptConnection whether its connection had served another request
     * @param sends how often the request was sent to a server
     * @param mayHaveRun whether any server may have run it
     * @param tookMillis the time since its arrival
     */
    record End(
            String outcome,
            String answeredBy,
            int status,
            boolean keptConnection,
            int sends,
            boolean mayHaveRun,
            long tookMillis) {}
}
