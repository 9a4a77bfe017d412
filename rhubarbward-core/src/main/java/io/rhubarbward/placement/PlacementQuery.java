package io.rhubarbward.placement;

import java.util.Optional;
import java.util.Set;

/**
 * The properties of a request that decide its placement.
 *
 * @param service the name of the service
 * @param affinityKey requests with the same key prefer the same server, such as the id of a shared
 *     prompt part
 * @param sharedTokens the number of prompt tokens that other requests share
 * @param unitHash hash of the request's attempt id, from 0 (inclusive) to 1 (exclusive); selects
 *     the version during a rollout
 * @param triedServers names of servers that the request was already sent to
 */
public record PlacementQuery(
        String service,
        Optional<String> affinityKey,
        int sharedTokens,
        double unitHash,
        Set<String> triedServers) {}
