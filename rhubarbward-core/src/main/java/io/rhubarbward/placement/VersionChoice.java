package io.rhubarbward.placement;

import java.util.List;

/** Restricts a service's servers to those whose software version a request may use. */
@FunctionalInterface
public interface VersionChoice {
    /** Allows every version for every request. */
    VersionChoice ANY = (service, unitHash, candidates) -> candidates;

    /**
     * Returns the servers that may serve the request.
     *
     * @param service the name of the service
     * @param unitHash hash of the request's attempt id, from 0 (inclusive) to 1 (exclusive)
     * @param candidates the servers that are otherwise eligible
     */
    List<TrackedServer> filter(String service, double unitHash, List<TrackedServer> candidates);
}
