package io.rhubarbward.forward;

import io.rhubarbward.catalog.CurrentCatalog;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.placement.PlacementPolicy;
import io.rhubarbward.placement.ServerTable;
import io.rhubarbward.request.BackendClient;
import io.rhubarbward.timer.TimerService;

/**
 * What every request needs.
 *
 * @param dialect how messages are written down
 * @param catalog routes and keys
 * @param freshness whether keys can be trusted
 * @param policy chooses servers
 * @param table what is believed of them
 * @param retries the right to send again
 * @param outcomes told how each send ended
 * @param backends sends
 * @param timers the time
 * @param events the log
 * @param metrics counters
 */
public record ForwardContext(
        RequestDialect dialect,
        CurrentCatalog catalog,
        CatalogFreshness freshness,
        PlacementPolicy policy,
        ServerTable table,
        LocalRetryBudget retries,
        SendObserver outcomes,
        BackendClient backends,
        TimerService timers,
        EventLog events,
        ForwardMetrics metrics) {}
