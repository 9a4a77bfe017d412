package io.rhubarbward.bench;

import io.rhubarbward.quota.QuotaKey;
import java.time.Duration;

/**
 * Measures the processor time of one permit exchange (ask, answer and return, with their frames)
 * and of one heartbeat among 57 routers, both sides counted, on virtual time.
 */
public final class ControlCost {
    private static final int ROUTERS = 57;
    private static final int ENGINES = 157;
    private static final int EXCHANGES = 50_000;
    private static final int HEARTBEAT_SECONDS = 200;
    private static final int ROUNDS = 5;
    private static final double NANOS_PER_MICRO = 1000.0;
    private static final Duration ROUND_TRIP = Duration.ofMillis(10);

    private ControlCost() {}

    /** Runs the measurement; the first rounds warm up. */
    public static void main(String[] arguments) {
        for (int round = 1; round <= ROUNDS; round++) {
            double heartbeat = heartbeats();
            System.out.printf(
                    "round %d: heartbeat %.2f us, permit exchange %.2f us%n",
                    round, heartbeat, exchanges(heartbeat));
        }
    }

    private static double heartbeats() {
        QuotaFleetLoop fleet = new QuotaFleetLoop(ROUTERS);
        fleet.timers().advance(Duration.ofSeconds(5));
        fleet.peers().reset();
        long start = System.nanoTime();
        fleet.timers().advance(Duration.ofSeconds(HEARTBEAT_SECONDS));
        long messages = fleet.peers().count("Heartbeat").messages();
        return (System.nanoTime() - start) / NANOS_PER_MICRO / messages;
    }

    private static double exchanges(double heartbeatMicros) {
        QuotaFleetLoop fleet = new QuotaFleetLoop(ROUTERS);
        fleet.timers().advance(Duration.ofSeconds(5));
        fleet.peers().reset();
        long start = System.nanoTime();
        for (int exchange = 0; exchange < EXCHANGES; exchange++) {
            QuotaKey key = new QuotaKey.BackendConcurrency("assistant-" + exchange % ENGINES);
            fleet.quotas(exchange % ROUTERS)
                    .acquire(key)
                    .thenAccept(granted -> granted.peek(permit -> permit.release()));
            if (exchange % ROUTERS == 0) {
                fleet.timers().advance(ROUND_TRIP);
            }
        }
        fleet.timers().advance(ROUND_TRIP);
        double micros = (System.nanoTime() - start) / NANOS_PER_MICRO;
        long heartbeats = fleet.peers().count("Heartbeat").messages();
        return (micros - heartbeats * heartbeatMicros) / EXCHANGES;
    }
}
