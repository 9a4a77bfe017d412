package io.rhubarbward.forward;

import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.HeaderFields;
import io.vavr.control.Either;

/** Encodes and decodes the header fields of one platform; it makes no decisions. */
public interface RequestDialect {
    /** Decodes a caller's request; the left side is an error message for the caller. */
    Either<String, RequestMetadata> read(CallerRequest request);

    /** Returns the header fields to send to a backend server. */
    HeaderFields toServer(HeaderFields fromCaller, BackendRequestMetadata metadata);

    /** Decodes the head of a backend server's answer. */
    ResponseMetadata readAnswer(int status, HeaderFields fromServer);

    /** Returns the header fields of an answer that are passed on to the caller. */
    HeaderFields toCaller(HeaderFields fromServer);

    /** Returns the header field that tells a caller to retry after the given time. */
    HeaderFields retryAfter(long millis);
}
