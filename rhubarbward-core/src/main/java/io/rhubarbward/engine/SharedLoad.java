package io.rhubarbward.engine;

/**
 * One engine's load as one router tells it to others.
 *
 * @param server a short form of the engine's name, the same at every router
 * @param incarnation a short form of its incarnation
 * @param running requests in its batch
 * @param waiting requests in its queue
 * @param served requests completed since it started
 * @param rampStart the count of served requests at which its ramp began
 * @param ageMillis how long before the sending the engine was asked
 * @param leaving whether it wants no new work
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
                EngineObservation.shortForm(server),
                report.incarnation(),
                report.running(),
                report.waiting(),
                report.served(),
                rampStart,
                (int) Math.min(Integer.MAX_VALUE, nowMillis - report.takenAtMillis()),
                report.leaving());
    }

    EngineObservation observation(long nowMillis) {
        return new EngineObservation(
                nowMillis - ageMillis,
                incarnation,
                running,
                waiting,
                served,
                rampStart,
                EngineObservation.UNKNOWN,
                leaving);
    }
}
