package io.rhubarbward.request;

import java.nio.ByteBuffer;

/**
 * A caller's complete request.
 *
 * @param method the HTTP method
 * @param target the path and query
 * @param headers the header fields
 * @param body the body, read-only; empty if there is none
 */
public record CallerRequest(String method, String target, HeaderFields headers, ByteBuffer body) {
    public CallerRequest {
        body = body.asReadOnlyBuffer();
    }

    /** Returns the path without the query. */
    public String path() {
        int queryStart = target.indexOf('?');
        return queryStart < 0 ? target : target.substring(0, queryStart);
    }

    /** Returns a new view of the body, positioned at its beginning. */
    @Override
    public ByteBuffer body() {
        return body.duplicate();
    }
}
