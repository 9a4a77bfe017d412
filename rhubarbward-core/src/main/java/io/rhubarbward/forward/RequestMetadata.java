package io.rhubarbward.forward;

import java.time.Duration;
import java.util.Optional;

/**
 * The decoded header fields of a caller's request.
 *
 * @param attemptId the id of the caller's attempt; answers carry it too
 * @param host the requested host, in lower case, without a port
 * @param callerTimeout how long the caller will wait; empty if the request does not say
 * @param key the caller's API key
 * @param prompt the metadata of its prompt, if it has one
 */
public record RequestMetadata(
        String attemptId,
        String host,
        Optional<Duration> callerTimeout,
        Optional<String> key,
        Optional<PromptMetadata> prompt) {}
