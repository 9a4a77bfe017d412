package io.rhubarbward.request;

import java.nio.ByteBuffer;

/**
 * A caller's whole request.
 *
 * @param method its method
 * @param target its path and query
 * @param headers its header fields
 * @param body its body, read-only; empty when it has none
 */
public record CallerRequest(String method, String target, HeaderFields headers, ByteBuffer body) {
    public CallerRequest {
        body = body.asReadOnlyBuffer();
    }

    /** Returns the path without the query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** Returns a fresh view of the body, from its beginning. */
    @Override
    public ByteBuffer body() {
        return body.duplicate();
    }
}
