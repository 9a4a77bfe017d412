package io.rhubarbward.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * What a backend server is told with a request.
 *
 * @param instance the id of the server that is meant
 * @param remaining how much time is left for the answer
 * @param account the client account whose key the caller carries
 * @param priority rank among the server's requests, where 0 is first
 */
public record BackendRequestMetadata(
        String instance, Duration remaining, Optional<String> account, OptionalInt priority) {}
