package io.rhubarbward.request;

import io.rhubarbward.admission.Admission;
import io.rhubarbward.config.BackendServer;
import io.rhubarbward.engine.BackendRegistry;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.quota.QuotaService;
import io.rhubarbward.request.claim.ClaimStore;
import io.rhubarbward.request.quarantine.Quarantine;
import io.rhubarbward.routing.RoutingPolicy;
import io.rhubarbward.timer.TimerService;

/**
 * The services that all exchanges of a router share.
 *
 * @param homeDataCentre the router's own data centre
 * @param timers the clock and scheduler
 * @param events the event log
 * @param admission authentication, the accounts' rate limits, the queue and the retry budget
 * @param routing chooses and orders the candidate backend servers of a request
 * @param registry the state of the backend servers
 * @param quotas the limits that all routers share
 * @param backends sends requests to backend servers
 * @param metrics the request metrics
 * @param observer receives the outcome of each call to a backend server
 * @param claims keeps requests with an idempotency key from running twice
 * @param quarantine keeps a request that crashes engines from crashing more of them
 */
public record ExchangeContext(
        String homeDataCentre,
        TimerService timers,
        EventLog events,
        Admission admission,
        RoutingPolicy routing,
        BackendRegistry registry,
        QuotaService quotas,
        BackendClient backends,
        RequestMetrics metrics,
        CallObserver observer,
        ClaimStore claims,
        Quarantine quarantine) {
    private static final String ACCOUNT_HEADER = "x-client-account";
    private static final String PRIORITY_HEADER = "x-priority";

    BackendRequest newBackendRequest(AcceptedRequest request, BackendServer server) {
        CallerRequest caller = request.caller();
        HeaderFields headers =
                HopByHopHeaders.strip(caller.headers())
                        .without(field -> replaced(field.name()))
                        .with(ACCOUNT_HEADER, request.account().name())
                        .with(
                                PRIORITY_HEADER,
                                Integer.toString(request.account().priority().engineValue()));
        return new BackendRequest(server, caller.method(), caller.target(), headers, caller.body());
    }

    /**
     * Keeps the caller's bearer key from backend servers, and the caller from setting an account or
     * priority.
     */
    private static boolean replaced(String header) {
        return header.equalsIgnoreCase("authorization")
                || header.equalsIgnoreCase("host")
                || header.equalsIgnoreCase("content-length")
                || header.equalsIgnoreCase(ACCOUNT_HEADER)
                || header.equalsIgnoreCase(PRIORITY_HEADER);
    }
}
