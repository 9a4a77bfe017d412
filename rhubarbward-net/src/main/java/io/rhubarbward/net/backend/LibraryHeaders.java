package io.rhubarbward.net.backend;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Removes the {@code Accept} field that AsyncHttpClient adds to requests without one. */
final class LibraryHeaders {
    /** Marks a request whose {@code Accept} field is the caller's own; removed before sending. */
    static final String KEEP_ACCEPT = "x-rhubarbward-keep-accept";

    private LibraryHeaders() {}

    static void removeFrom(HttpHeaders headers) {
        if (headers.contains(KEEP_ACCEPT)) {
            headers.remove(KEEP_ACCEPT);
        } else {
            headers.remove(HttpHeaderNames.ACCEPT);
        }
    }
}
