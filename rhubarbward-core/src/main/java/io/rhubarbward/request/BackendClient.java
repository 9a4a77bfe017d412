package io.rhubarbward.request;

/** Sends requests to backend servers. */
public interface BackendClient {
    /**
     * Sends the request once; the client itself never retries.
     *
     * @param request the request and its backend server
     * @param listener receives the answer, on the timer service's thread
     */
    BackendCall send(BackendRequest request, BackendListener listener);

    /** Stops reuse of idle connections to the address, which may belong to another server now. */
    default void evictIdleConnections(String address) {}
}
