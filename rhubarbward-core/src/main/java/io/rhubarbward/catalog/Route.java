package io.rhubarbward.catalog;

import java.time.Duration;
import java.util.List;

/**
 * Which requests go to which services, and how.
 *
 * @param name its name
 * @param host the host it belongs to
 * @param pathPrefix begins and ends with a slash
 * @param kind what may be done with its requests
 * @param targets the services, each with its weight
 * @param timeout the longest time that a caller is kept waiting
 * @param targetLatency the time within which an answer earns its full credit
 * @param maxAttempts on how many backend servers one request may run
 * @param priority rank; 0 is the highest
 * @param allowsAnonymous whether callers need no key
 * @param resumable whether its streams may be resumed at another backend server
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        List<WeightedService> targets,
        Duration timeout,
        Duration targetLatency,
        int maxAttempts,
        int priority,
        boolean allowsAnonymous,
        boolean resumable) {
    public Route {
        targets = List.copyOf(targets);
        if (targets.isEmpty()) {
            throw new IllegalArgumentException("route " + name + ": expected a service");
        }
    }

    /** Returns whether a request of the route may run more than once. */
    public boolean mayRunAgain() {
        return kind.mayRunAgain(resumable);
    }

    /** Returns whether answers are streams of events. */
    public boolean streams() {
        return kind == RouteKind.STREAMING;
    }

    /**
     * Returns the service that a point of the unit interval falls to.
     *
     * @param point from 0 (inclusive) to 1 (exclusive)
     */
    public String service(double point) {
        double total = targets.stream().mapToDouble(WeightedService::weight).sum();
        double left = point * total;
        for (WeightedService target : targets) {
            left -= target.weight();
            if (left < 0) {
                return target.service();
            }
        }
        return targets.get(0).service();
    }
}
