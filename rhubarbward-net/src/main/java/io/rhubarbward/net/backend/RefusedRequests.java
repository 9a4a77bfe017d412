package io.rhubarbward.net.backend;

import io.netty.channel.Channel;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The ids of the requests that were refused or answered with any other status than a success, by
 * the open connection that carried the answer.
 *
 * <p>A server may write a refusal once more, later. On the connection that carried it, the copy
 * cannot be told from the answer to the same request sent again, so that such a request needs
 * another connection.
 */
final class RefusedRequests {
    /** Ids kept for one connection, which is not reused beyond it. */
    private static final int MAX_IDS_PER_CONNECTION = 256;

    private final Map<String, Map<Channel, Set<String>>> mIdsByAddress = new HashMap<>();

    /**
     * Records a request that was not answered with a success.
     *
     * @param address the server's host and port
     * @param connection the connection that carried the answer
     * @param id the request's id
     * @return whether the connection may be reused
     */
    synchronized boolean record(String address, Channel connection, String id) {
        Map<Channel, Set<String>> idsByConnection =
                mIdsByAddress.computeIfAbsent(address, unused -> new HashMap<>());
        Set<String> known = idsByConnection.get(connection);
        if (known != null) {
            known.add(id);
            return known.size() < MAX_IDS_PER_CONNECTION;
        }
        idsByConnection.put(connection, new HashSet<>(Set.of(id)));
        connection.closeFuture().addListener(closed -> remove(address, connection));
        return true;
    }

    private synchronized void remove(String address, Channel connection) {
        mIdsByAddress.computeIfPresent(
                address,
                (unused, idsByConnection) -> {
                    idsByConnection.remove(connection);
                    return idsByConnection.isEmpty() ? null : idsByConnection;
                });
    }

    /** Returns whether an open connection to the address carried such an answer to the request. */
    synchronized boolean contains(String address, String id) {
        return mIdsByAddress.getOrDefault(address, Map.of()).values().stream()
                .anyMatch(ids -> ids.contains(id));
    }

    /** Returns the number of connections that carried such an answer and are open. */
    synchronized int connectionCount() {
        return mIdsByAddress.values().stream().mapToInt(Map::size).sum();
    }
}
