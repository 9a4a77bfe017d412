package io.rhubarbward.admission;

import io.rhubarbward.catalog.ServiceProfile;

/**
 * What admission control needs to know of a request to a service whose capacity is stated.
 *
 * @param id the id of the caller's attempt
 * @param route the name of its route
 * @param service its service
 * @param account the name of its client account; empty for a request without one
 * @param rank how many distinct ranks of the service's routes are more urgent
 * @param places the places that it takes, see {@link RequestCost}
 * @param arrivedMillis when it arrived
 * @param deadlineMillis when its caller stops waiting
 * @param timeoutMillis the longest time that the route allows
 * @param targetLatencyMillis the latency that operators aim for on the route
 */
public record AdmissionRequest(
        String id,
        String route,
        ServiceProfile service,
        String account,
        int rank,
        double places,
        long arrivedMillis,
        long deadlineMillis,
        long timeoutMillis,
        long targetLatencyMillis)
        implements QueuedRequest {
    @Override
    public double timeLeft(long nowMillis) {
        return (double) (deadlineMillis - nowMillis) / Math.max(1, timeoutMillis);
    }
}
