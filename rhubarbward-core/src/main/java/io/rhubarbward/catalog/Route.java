package io.rhubarbward.catalog;

import java.time.Duration;
import java.util.List;

/**
 * A route from a host and path prefix to services, with its rules for timeouts and retries.
 *
 * @param name the route's name
 * @param host the host, in lower case, whose requests it matches
 * @param pathPrefix the path prefix that it matches; begins and ends with a slash
 * @param kind whether its requests may run more than once, and whether it streams
 * @param targets the services that its requests are split among, by weight
 * @param timeout longest time that a caller waits for an answer
 * @param targetLatency latency that operators aim for
 * @param maxAttempts maximum number of backend servers that one request may run on
 * @param priority priority of its requests; 0 is the highest
 * @param allowsAnonymous whether callers need no API key
 * @param resumable whether an interrupted stream may be resumed at another backend server
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
            throw new IllegalArgumentException(
                    "route " + name + ": no target services, expected at least one");
        }
    }

    /** Returns whether a request of the route may run more than once. */
    public boolean mayRunAgain() {
        return kind.mayRunAgain(resumable);
    }

    /** Returns whether answers are event streams. */
    public boolean streams() {
        return kind == RouteKind.STREAMING;
    }

    /**
     * Returns the service at a point of the unit interval that is split by the targets' weights.
     *
     * @param point from 0 (inclusive) to 1 (exclusive)
     */
    public String service(double point) {
        double totalWeight = targets.stream().mapToDouble(WeightedService::weight).sum();
        double remainingWeight = point * totalWeight;
        for (WeightedService target : targets) {
            remainingWeight -= target.weight();
            if (remainingWeight < 0) {
                return target.service();
            }
        }
        return targets.get(0).service();
    }
}
