package io.rhubarbward.forward;

import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.HeaderFields;
import io.vavr.control.Either;

/** How requests, answers and refusals are written down; decides nothing. */
public interface RequestDialect {
    /** Reads a caller's request; the left side says what was read and what was expected. */
    Either<String, RequestMetadata> read(CallerRequest request);

    /** Returns the header fields that go to a backend server. */
    HeaderFields toServer(HeaderFields fromCaller, BackendRequestMetadata facts);

    /** Reads the head of a backend server's answer. */
    ResponseMetadata readAnswer(int status, HeaderFields fromServer);

    /** Returns the header fields of an answer that go to the caller. */
    HeaderFields toCaller(HeaderFields fromServer);

    /** Returns the header field that tells a caller when to come back. */
    HeaderFields retryAfter(long millis);
}
