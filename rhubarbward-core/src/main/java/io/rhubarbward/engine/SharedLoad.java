package io.rhubarbward.engine;

/**
 * One engine's load in a {@link LoadShare} message between routers.
 *
 * @param server 32-bit hash of the engine's name, the same at every router
 * @param incarnation 32-bit hash of its incarnation
 * @param running requests in its batch
 * @param waiting requests in its queue
 * @param served requests completed since it started
 * @param rampStart the served count at which its slow-start ramp began
 * @param ageMillis the age of the report when the message was sent
 * @param leaving whether it finishes its running requests and takes no new ones
 */
public record SharedLoad(
        int server,
        int incarnation,
        int running,
        int waiting,
        long served,
        long rampStart,
        int ageMillis,
        boolean leaving) {
    static SharedLoad of(String server, EngineObservation report, long rampStart, long nowMillis) {
        return new SharedLoad(
                EngineObservation.nameHash(server),
                report.incarnation(),
                report.running(),
                report.waiting(),
                report.served(),
                rampStart,
                (int) Math.min(Integer.MAX_VALUE, nowMillis - report.takenAtMillis()),
                report.leaving());
    }

    EngineObservation toObservation(long nowMillis) {
        return new EngineObservation(
                nowMillis - ageMillis,
                incarnation,
                running,
                waiting,
                served,
                rampStart,
                EngineObservation.UNKNOWN_TOKEN_COUNT,
                leaving);
    }
}
