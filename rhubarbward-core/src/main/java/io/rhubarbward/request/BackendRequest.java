package io.rhubarbward.request;

import io.rhubarbward.config.BackendServer;
import java.nio.ByteBuffer;

/**
 * A request to a backend server.
 *
 * @param server the backend server to send it to
 * @param method the HTTP method
 * @param target the path and query
 * @param headers the header fields
 * @param body the body, read-only
 */
public record BackendRequest(
        BackendServer server,
        String method,
        String target,
        HeaderFields headers,
        ByteBuffer body) {}
