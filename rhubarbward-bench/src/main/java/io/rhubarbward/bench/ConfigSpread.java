package io.rhubarbward.bench;

import io.rhubarbward.config.Sha256;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/**
 * Measures how accepted configurations spread, on virtual time with seeds: the time until one is in
 * force at every router under losses and restarts, the calls to the platform, and the cost of a
 * change and of a new router at 16,000 client accounts.
 */
public final class ConfigSpread {
    private static final int SEEDS = 200;
    private static final double LOSS_SHARE = 0.1;
    private static final Duration SETTLE = Duration.ofSeconds(10);
    private static final Duration LIMIT = Duration.ofSeconds(60);
    private static final Duration LISTED_AFTER_DEATH = Duration.ofSeconds(10);
    private static final int TARGET_ACCOUNTS = 16_000;
    private static final int IDLE_SECONDS = 120;
    private static final long RESTART_WITHIN_MILLIS = 1000;
    private static final int DIGITS = 3;

    private ConfigSpread() {}

    /** Runs all measurements. */
    public static void main(String[] arguments) {
        List.of(9, 27).forEach(ConfigSpread::spread);
        List.of(9, 27, 54, 108).forEach(ConfigSpread::idleCalls);
        atTargetAccounts();
    }

    private static void spread(int routers) {
        Histogram millis = new Histogram(LIMIT.toMillis() * 2, DIGITS);
        long reverted = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            ConfigFleet fleet = new ConfigFleet(seed, LOSS_SHARE);
            SplittableRandom random = new SplittableRandom(-seed);
            fleet.start(routers);
            fleet.apply(settings(10, "20"));
            fleet.timers().advance(SETTLE);
            // Two routers are replaced around the change: relays as likely as others.
            restart(fleet, random);
            restart(fleet, random);
            fleet.timers().advance(Duration.ofMillis(random.nextLong(RESTART_WITHIN_MILLIS)));
            fleet.apply(settings(10, "21"));
            millis.recordValue(fleet.untilInForce(2, LIMIT));
            fleet.timers().advance(SETTLE);
            reverted += fleet.reverted();
        }
        System.out.printf(
                "in force everywhere, %d routers, %d seeds: median %d ms, largest %d ms,"
                        + " generations reverted %d%n",
                routers, SEEDS, millis.getValueAtPercentile(50), millis.getMaxValue(), reverted);
    }

    private static void restart(ConfigFleet fleet, SplittableRandom random) {
        long delay = random.nextLong(2 * RESTART_WITHIN_MILLIS);
        fleet.timers()
                .after(
                        Duration.ofMillis(delay),
                        () -> {
                            List<String> routers = fleet.routers();
                            fleet.kill(
                                    routers.get(random.nextInt(routers.size())),
                                    LISTED_AFTER_DEATH);
                            fleet.startOne();
                        });
    }

    private static void idleCalls(int routers) {
        ConfigFleet fleet = new ConfigFleet(1, 0);
        fleet.start(routers);
        fleet.apply(settings(10, "20"));
        fleet.timers().advance(SETTLE);
        long reads = fleet.store().reads();
        long writes = fleet.store().writes();
        fleet.timers().advance(Duration.ofSeconds(IDLE_SECONDS));
        System.out.printf(
                "platform calls, %d routers in 3 data centres: %.2f reads/s, %.3f writes/s%n",
                routers,
                (fleet.store().reads() - reads) / (double) IDLE_SECONDS,
                (fleet.store().writes() - writes) / (double) IDLE_SECONDS);
    }

    private static void atTargetAccounts() {
        ConfigFleet fleet = new ConfigFleet(1, 0);
        fleet.start(9);
        fleet.timers().advance(SETTLE);
        fleet.apply(settings(TARGET_ACCOUNTS, "20"));
        System.out.printf(
                "first configuration of %d accounts at 9 routers: %d ms%n",
                TARGET_ACCOUNTS, fleet.untilInForce(1, LIMIT));
        fleet.timers().advance(SETTLE);
        oneLineChange(fleet);
        newRouter(fleet);
    }

    private static void oneLineChange(ConfigFleet fleet) {
        long reads = fleet.store().reads();
        long writes = fleet.store().writes();
        long bytes = fleet.peers().configBytes();
        long acceptMillis = fleet.apply(settings(TARGET_ACCOUNTS, "21"));
        long acceptReads = fleet.store().reads() - reads;
        long acceptWrites = fleet.store().writes() - writes;
        long spreadMillis = fleet.untilInForce(2, LIMIT);
        System.out.printf(
                "one-line change: %d reads and %d writes in %d ms to accept (with what relays do"
                        + " meanwhile); in force after %d ms; %d bytes between 9 routers%n",
                acceptReads,
                acceptWrites,
                acceptMillis,
                spreadMillis,
                fleet.peers().configBytes() - bytes);
    }

    private static void newRouter(ConfigFleet fleet) {
        long reads = fleet.store().reads();
        long bytes = fleet.peers().configBytes();
        fleet.startOne();
        long millis = fleet.untilInForce(2, LIMIT);
        System.out.printf(
                "new router: %d ms, %d bytes from peers, %d reads of the platform by all%n",
                millis, fleet.peers().configBytes() - bytes, fleet.store().reads() - reads);
    }

    private static String settings(int accounts, String burstOfFirst) {
        String named =
                IntStream.range(0, accounts)
                        .mapToObj(number -> account(number, number == 0 ? burstOfFirst : "20"))
                        .collect(Collectors.joining(","));
        return "{\"accounts\": {" + named + "}}";
    }

    private static String account(int number, String burst) {
        return "\"account-%d\": {\"keySha256\": \"%s\", \"burst\": %s}"
                .formatted(number, Sha256.of("key-" + number), burst);
    }
}
