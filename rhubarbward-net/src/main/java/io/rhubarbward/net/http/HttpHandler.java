package io.rhubarbward.net.http;

import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;

/** Handles the HTTP requests of an {@link HttpListener}, on the timer service's thread. */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Handles a request, and may send the response later.
     *
     * @return the listener to notify when the connection becomes writable, unwritable or closed
     */
    CallerListener handle(CallerRequest request, CallerResponse response);
}
