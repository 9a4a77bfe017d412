package io.rhubarbward.forward;

import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.HeaderFields;
import io.vavr.control.Either;
import java.time.Duration;

/** Encodes and decodes the header fields of one platform; it makes no decisions. */
public interface RequestDialect {
    /** Decodes a caller's request; the left side is an error message for the caller. */
    Either<String, RequestMetadata> read(CallerRequest request);

    /** Returns the header fields to send to a backend server. */
    HeaderFields toServer(HeaderFields fromCaller, BackendRequestMetadata metadata);

    /**
     * Returns the header fields of a caller's request to send to another router, which serves it in
     * this one's place.
     *
     * @param remaining the time left until the request's deadline
     */
    HeaderFields toPeer(HeaderFields fromCaller, Duration remaining);

    /** Decodes the head of a backend server's answer. */
    ResponseMetadata readAnswer(int status, HeaderFields fromServer);

    /** Returns the header fields of an answer that are passed on to the caller. */
    HeaderFields toCaller(HeaderFields fromServer);

    /** Returns the header field that names an attempt, in a request or in its answer. */
    HeaderFields attemptId(String id);

    /** Returns the header field that tells a caller to retry after the given time. */
    HeaderFields retryAfter(long millis);
}
