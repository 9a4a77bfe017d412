package io.rhubarbward.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * What the header fields tell a backend server about a forwarded request.
 *
 * @param instance the id of the server that the request is meant for
 * @param remaining the time left until the request's deadline
 * @param account the name of the client account that the caller's key belongs to
 * @param priority the request's priority at the server, where 0 is the highest
 */
public record BackendRequestMetadata(
        String instance, Duration remaining, Optional<String> account, OptionalInt priority) {}
