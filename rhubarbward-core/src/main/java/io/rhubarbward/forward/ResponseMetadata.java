package io.rhubarbward.forward;

import io.rhubarbward.placement.ServerLoad;
import java.util.Optional;

/**
 * What a backend server's answer says of itself, decoded.
 *
 * @param attemptId the id of the request that it answers
 * @param notRun whether the server states that it did not run the request
 * @param genuine whether it bears the server's signature and is passed on as the server made it
 * @param load the server's load
 */
public record ResponseMetadata(
        Optional<String> attemptId, boolean notRun, boolean genuine, Optional<ServerLoad> load) {}
