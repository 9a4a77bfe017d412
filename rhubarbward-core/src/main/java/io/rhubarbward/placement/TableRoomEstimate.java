package io.rhubarbward.placement;

import io.rhubarbward.admission.AccountUsage;
import io.rhubarbward.admission.RoomEstimate;
import io.rhubarbward.admission.ServiceRoom;
import io.rhubarbward.catalog.EngineCapacity;
import io.rhubarbward.catalog.ServiceProfile;
import io.rhubarbward.directory.FleetLimitSplitter;
import io.rhubarbward.timer.TimerService;
import java.util.List;
import java.util.function.Predicate;

/**
 * Estimates the room of a service from the servers in the table.
 *
 * <p>While other routers announce what they have in flight, the estimate covers the whole fleet.
 * Otherwise it covers this router alone: its share of the capacity, occupied by its own requests.
 *
 * <pre>{@code
 * RoomEstimate estimate =
 *         new TableRoomEstimate(timers, table, limitSplitter, evacuations::contains, usage);
 * boolean full = estimate.room(profile).utilisation(cost) > 1;
 * }</pre>
 */
public final class TableRoomEstimate implements RoomEstimate {
    private final TimerService mTimers;
    private final ServerTable mTable;
    private final FleetLimitSplitter mLimitSplitter;
    private final Predicate<String> mIsEvacuated;
    private final AccountUsage mUsage;

    /**
     * Creates an estimate over the servers of the table.
     *
     * @param isEvacuated whether the named data centre is being evacuated
     * @param usage counts the places of this router's open requests
     */
    public TableRoomEstimate(
            TimerService timers,
            ServerTable table,
            FleetLimitSplitter limitSplitter,
            Predicate<String> isEvacuated,
            AccountUsage usage) {
        mTimers = timers;
        mTable = table;
        mLimitSplitter = limitSplitter;
        mIsEvacuated = isEvacuated;
        mUsage = usage;
    }

    @Override
    public ServiceRoom room(ServiceProfile service) {
        long now = mTimers.nowMillis();
        int routers = mLimitSplitter.routerCount();
        long ageMillis = mTable.othersAgeMillis();
        boolean knowsOthers = ageMillis < TrackedServer.OTHERS_MAX_AGE_MILLIS;
        List<TrackedServer> servers = mTable.servers(service.name());
        long slots = 0;
        double requests = 0;
        int ownRequests = 0;
        // One pass without allocation: each request that is admitted asks for the room.
        for (TrackedServer server : servers) {
            ownRequests += server.inFlight();
            if (server.usable(now) && !mIsEvacuated.test(server.server().dataCentre())) {
                slots += server.slots();
                requests += knowsOthers ? server.estimatedLoad(now, routers) : server.inFlight();
            }
        }
        double capacity = slots * PlacementPolicy.MAX_LOAD_PER_SLOT;
        return new ServiceRoom(
                knowsOthers ? capacity : capacity / routers,
                requests * meanCost(service, ownRequests),
                ageMillis);
    }

    /**
     * Returns the mean places of this router's requests in flight, within what one request can
     * take: requests that are between two attempts have places and are not in flight.
     */
    private double meanCost(ServiceProfile service, int ownRequests) {
        if (ownRequests <= 0) {
            return 1;
        }
        double places =
                mUsage.ownPlaces(service.name()).values().stream()
                        .mapToDouble(Double::doubleValue)
                        .sum();
        int maxCost = service.engineCapacity().map(EngineCapacity::slots).orElse(1);
        return Math.min(maxCost, Math.max(1, places / ownRequests));
    }
}
