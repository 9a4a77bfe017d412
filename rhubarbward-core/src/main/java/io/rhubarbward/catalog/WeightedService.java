package io.rhubarbward.catalog;

/**
 * A service and its weight in the traffic split of a route.
 *
 * @param service the service's name
 * @param weight its share of the requests, relative to the weights of the route's other services
 */
public record WeightedService(String service, double weight) {
    public WeightedService {
        if (!(weight >= 0)) {
            throw new IllegalArgumentException("weight " + weight + ": expected 0 or more");
        }
    }
}
