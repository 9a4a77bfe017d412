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
 * What every exchange of a router shares.
 *
 * @param homeDataCentre the router's own data centre
 * @param timers the time
 * @param events the log
 * @param admission the accounts' rates
 * @param routing the order of backend servers
 * @param registry the backend servers
 * @param quotas the shared limits
 * @param backends sends to backend servers
 * @param metrics counts what happens
 * @param observer told how each call to a backend server ended
 * @param claims keeps requests with an idempotency key from running twice
 * @param quarantine keeps requests that crash engines from crashing more
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

    BackendRequest backendRequest(AcceptedRequest request, BackendServer server) {
        CallerRequest caller = request.caller();
        HeaderFields headers =
                HopByHop.strip(caller.headers())
                        .without(field -> replaced(field.name()))
                        .with(ACCOUNT_HEADER, request.account().name())
                        .with(
                                PRIORITY_HEADER,
                                Integer.toString(request.account().priority().engineValue()));
        return new BackendRequest(server, caller.method(), caller.target(), headers, caller.body());
    }

    /** A caller's key stays here, and a caller cannot claim another's account or priority. */
    private static boolean replaced(String header) {
        return header.equalsIgnoreCase("authorization")
                || header.equalsIgnoreCase("host")
                || header.equalsIgnoreCase("content-length")
                || header.equalsIgnoreCase(ACCOUNT_HEADER)
                || header.equalsIgnoreCase(PRIORITY_HEADER);
    }
}
