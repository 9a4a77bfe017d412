package io.rhubarbward.forward;

import io.rhubarbward.catalog.CurrentCatalog;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.placement.PlacementPolicy;
import io.rhubarbward.placement.ServerTable;
import io.rhubarbward.request.BackendClient;
import io.rhubarbward.timer.TimerService;

/**
 * The dependencies that all forwarded requests of a router share.
 *
 * @param dialect encodes and decodes header fields
 * @param catalog the current routes, services and keys
 * @param freshness whether the catalogue is recent enough to trust it
 * @param policy chooses a backend server for each request
 * @param table the backend servers with their tracked load and health
 * @param retryBudget limits retries
 * @param sendObserver told how each send ended
 * @param backends sends requests to backend servers
 * @param timers clock and timers
 * @param events the event log
 * @param metrics counters and histograms
 */
public record ForwardContext(
        RequestDialect dialect,
        CurrentCatalog catalog,
        CatalogFreshness freshness,
        PlacementPolicy policy,
        ServerTable table,
        LocalRetryBudget retryBudget,
        SendObserver sendObserver,
        BackendClient backends,
        TimerService timers,
        EventLog events,
        ForwardMetrics metrics) {}
