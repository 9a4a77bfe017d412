package io.rhubarbward.forward;

import io.rhubarbward.placement.ServerLoad;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The decoded head of a backend server's answer.
 *
 * @param attemptId the id of the attempt that it answers
 * @param notRun whether the server states that it did not run the request
 * @param genuine whether the answer has the server's signature, where one is required, and is not
 *     re-encoded
 * @param leaving whether the server says that it shuts down and must get no new requests
 * @param rest how long the server wants no further request from this router, if it declines this
 *     one and says so
 * @param limitPerSecond how many requests a second the server takes from all routers together;
 *     empty if it states no limit, NaN if it states one that makes no sense
 * @param brittlePerSecond how many requests a second the server can decline for want of room
 *     without falling over; empty if it does not say, NaN if what it says makes no sense
 * @param load the load that the server reports
 */
public record ResponseMetadata(
        Optional<String> attemptId,
        boolean notRun,
        boolean genuine,
        boolean leaving,
        Optional<Duration> rest,
        OptionalDouble limitPerSecond,
        OptionalDouble brittlePerSecond,
        Optional<ServerLoad> load) {}
