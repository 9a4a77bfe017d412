package io.rhubarbward.bench;

import io.rhubarbward.bench.CountedPeers.Count;
import io.rhubarbward.quota.QuotaKey;
import io.rhubarbward.quota.QuotaService;
import java.time.Duration;
import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Counts control bytes per router and second at the target's load per router, for fleets of 3, 9,
 * 27 and 81 routers: real decision objects and real frames, stepped on virtual time.
 *
 * <p>Each router starts 17 requests a second of 14.4 s each on average; there are 2.75 engines and
 * 13 client accounts for each router, chosen evenly.
 */
public final class ControlTraffic {
    private static final int[] FLEETS = {3, 9, 27, 81};
    private static final double REQUESTS_PER_SECOND = 17;
    private static final double MEAN_MILLIS = 14_400;
    private static final double ENGINES_PER_ROUTER = 2.75;
    private static final int ACCOUNTS_PER_ROUTER = 13;
    private static final int WARM_UP_SECONDS = 60;
    private static final int SECONDS = 60;
    private static final long SEED = 1;

    private final int mRouters;
    private final QuotaFleetLoop mFleet;
    private final SplittableRandom mRandom = new SplittableRandom(SEED);
    private int mGranted;
    private int mRefused;

    private ControlTraffic(int routers) {
        mRouters = routers;
        mFleet = new QuotaFleetLoop(routers);
    }

    /** Runs the measurement; an argument sets the requests per router and second. */
    public static void main(String[] arguments) {
        double rate = arguments.length > 0 ? Double.parseDouble(arguments[0]) : REQUESTS_PER_SECOND;
        double[] totals =
                Arrays.stream(FLEETS)
                        .mapToDouble(routers -> new ControlTraffic(routers).run(rate))
                        .toArray();
        int last = FLEETS.length - 1;
        double slope = (totals[last] - totals[0]) / (FLEETS[last] - FLEETS[0]);
        System.out.printf("slope %.1f B/s for each further router%n", slope);
    }

    private double run(double rate) {
        for (int router = 0; router < mRouters; router++) {
            next(router, rate);
        }
        mFleet.timers().advance(Duration.ofSeconds(WARM_UP_SECONDS));
        mFleet.peers().reset();
        mGranted = 0;
        mRefused = 0;
        mFleet.timers().advance(Duration.ofSeconds(SECONDS));
        return print();
    }

    private void next(int router, double rate) {
        long wait = Math.round(exponential(1000 / rate));
        mFleet.timers()
                .after(
                        Duration.ofMillis(wait),
                        () -> {
                            request(router);
                            next(router, rate);
                        });
    }

    private void request(int router) {
        QuotaService quotas = mFleet.quotas(router);
        int account = mRandom.nextInt(mRouters * ACCOUNTS_PER_ROUTER);
        int engine = mRandom.nextInt((int) Math.round(mRouters * ENGINES_PER_ROUTER));
        quotas.acquire(new QuotaKey.AccountRate("account-" + account))
                .thenCompose(
                        admitted ->
                                quotas.acquire(
                                        new QuotaKey.BackendConcurrency("assistant-" + engine)))
                .thenAccept(granted -> granted.peek(this::hold).peekLeft(r -> mRefused++));
    }

    private void hold(QuotaService.QuotaPermit permit) {
        mGranted++;
        long millis = Math.round(exponential(MEAN_MILLIS));
        mFleet.timers().after(Duration.ofMillis(millis), permit::release);
    }

    private double exponential(double mean) {
        return -Math.log(1 - mRandom.nextDouble()) * mean;
    }

    private double print() {
        double perRouter = 1.0 / mRouters / SECONDS;
        Count all = mFleet.peers().counts().values().stream().reduce(new Count(0, 0), Count::plus);
        System.out.printf(
                "%d routers: %.0f B/s sent and as much received, %.1f messages/s sent;"
                        + " granted %d, refused %d%n",
                mRouters, all.bytes() * perRouter, all.messages() * perRouter, mGranted, mRefused);
        mFleet.peers()
                .counts()
                .forEach(
                        (kind, count) ->
                                System.out.printf(
                                        "  %s: %.0f B/s, %.1f messages/s%n",
                                        kind,
                                        count.bytes() * perRouter,
                                        count.messages() * perRouter));
        return all.bytes() * perRouter;
    }
}
