package io.rhubarbward.net.http;

import io.rhubarbward.request.CallerListener;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.CallerResponse;

/** Answers HTTP requests. */
@FunctionalInterface
public interface HttpHandler {
    /** Answers the request; the returned listener is told of the caller's connection. */
    CallerListener handle(CallerRequest request, CallerResponse response);
}
