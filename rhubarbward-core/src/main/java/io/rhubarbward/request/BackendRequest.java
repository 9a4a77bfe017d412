package io.rhubarbward.request;

import io.rhubarbward.config.BackendServer;
import java.nio.ByteBuffer;

/**
 * A request to a backend server.
 *
 * @param server where it goes
 * @param method its method
 * @param target its path and query
 * @param headers its header fields
 * @param body its body, read-only
 */
public record BackendRequest(
        BackendServer server,
        String method,
        String target,
        HeaderFields headers,
        ByteBuffer body) {}
