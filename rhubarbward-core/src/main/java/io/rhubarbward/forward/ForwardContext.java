package io.rhubarbward.forward;

import io.rhubarbward.admission.FleetAdmission;
import io.rhubarbward.catalog.CurrentCatalog;
import io.rhubarbward.crash.CrashSuspects;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.placement.PlacementPolicy;
import io.rhubarbward.placement.ServerTable;
import io.rhubarbward.reach.ForwardingPeers;
import io.rhubarbward.reach.Reachability;
import io.rhubarbward.request.BackendClient;
import io.rhubarbward.timer.TimerService;
import java.util.function.LongSupplier;

/**
 * The dependencies that all forwarded requests of a router share.
 *
 * @param dialect encodes and decodes header fields
 * @param catalog the current routes, services and keys
 * @param freshness whether the catalogue is recent enough to trust it
 * @param admission decides which requests are placed while there is want of room
 * @param policy chooses a backend server for each request
 * @param table the backend servers with their tracked load and health
 * @param retryBudget limits retries
 * @param crashSuspects finds and blocks requests that crash backend servers
 * @param sendObserver told how each send ended
 * @param reach whether this router reaches the backend servers
 * @param peers the routers through which requests go while it does not
 * @param backends sends requests to backend servers
 * @param timers clock and timers
 * @param loopLagMillis how far the event loop may be behind: a request that is read now may have
 *     been waiting for that long
 * @param events the event log
 * @param metrics counters and histograms
 */
public record ForwardContext(
        RequestDialect dialect,
        CurrentCatalog catalog,
        CatalogFreshness freshness,
        FleetAdmission admission,
        PlacementPolicy policy,
        ServerTable table,
        LocalRetryBudget retryBudget,
        CrashSuspects crashSuspects,
        SendObserver sendObserver,
        Reachability reach,
        ForwardingPeers peers,
        BackendClient backends,
        TimerService timers,
        LongSupplier loopLagMillis,
        EventLog events,
        ForwardMetrics metrics) {}
