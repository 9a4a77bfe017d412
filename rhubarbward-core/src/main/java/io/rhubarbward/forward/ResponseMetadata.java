package io.rhubarbward.forward;

import io.rhubarbward.placement.ServerLoad;
import java.util.Optional;

/**
 * The decoded head of a backend server's answer.
 *
 * @param attemptId the id of the attempt that it answers
 * @param notRun whether the server states that it did not run the request
 * @param genuine whether the answer has the server's signature, where one is required, and is not
 *     re-encoded
 * @param load the load that the server reports
 */
public record ResponseMetadata(
        Optional<String> attemptId, boolean notRun, boolean genuine, Optional<ServerLoad> load) {}
