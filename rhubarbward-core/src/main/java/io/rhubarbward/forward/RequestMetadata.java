package io.rhubarbward.forward;

import java.time.Duration;
import java.util.Optional;

/**
 * What a caller's request says of itself, decoded.
 *
 * @param attemptId the id of this try of the caller's; answers carry it as well
 * @param host the host asked for, in lower case, without a port
 * @param callerTimeout how long the caller will wait; empty if it does not say
 * @param key the caller's key
 * @param prompt its prompt, if it has one
 */
public record RequestMetadata(
        String attemptId,
        String host,
        Optional<Duration> callerTimeout,
        Optional<String> key,
        Optional<PromptMetadata> prompt) {}
