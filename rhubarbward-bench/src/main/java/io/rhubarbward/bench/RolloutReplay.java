package io.rhubarbward.bench;

import io.rhubarbward.move.RolloutState;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ForkJoinPool;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

/**
 * Replays seeded rollouts of good and bad versions and prints how they ended.
 *
 * <pre>{@code
 * java -cp ... io.rhubarbward.bench.RolloutReplay 30
 * }</pre>
 *
 * <p>The argument is the number of seeds for each scenario. Each rollout has 12 minutes to finish
 * and is watched for 6 more, at 20 requests a second over 3 routers.
 */
public final class RolloutReplay {
    private static final int SEEDS = 30;
    private static final int THREADS = 3;
    private static final double PERCENT = 100;
    private static final double SECOND_MILLIS = 1000;

    private RolloutReplay() {}

    /** Runs the replay. */
    public static void main(String[] arguments) throws ExecutionException, InterruptedException {
        int seeds = arguments.length > 0 ? Integer.parseInt(arguments[0]) : SEEDS;
        ForkJoinPool pool = new ForkJoinPool(THREADS);
        for (RolloutScenario scenario : RolloutScenario.values()) {
            List<RolloutTrial.Result> results =
                    pool.submit(
                                    () ->
                                            IntStream.rangeClosed(1, seeds)
                                                    .parallel()
                                                    .mapToObj(seed -> run(scenario, seed))
                                                    .toList())
                            .get();
            System.out.println(scenario.good() ? good(scenario, results) : bad(scenario, results));
        }
        pool.shutdown();
    }

    private static RolloutTrial.Result run(RolloutScenario scenario, int seed) {
        return new RolloutTrial(scenario, seed).run();
    }

    private static String good(RolloutScenario scenario, List<RolloutTrial.Result> results) {
        return String.format(
                Locale.ROOT,
                "%-26s rollouts %d, done in time %d, taken back %d, raw rule takes back %d%s",
                scenario,
                results.size(),
                results.stream().filter(RolloutReplay::doneInTime).count(),
                count(results, RolloutState.TAKEN_BACK),
                results.stream().filter(result -> result.course().rawRuleMillis() >= 0).count(),
                platform(results));
    }

    private static String bad(RolloutScenario scenario, List<RolloutTrial.Result> results) {
        double[] share = sorted(results, r -> PERCENT * r.course().newCalls() / r.course().calls());
        double[] seconds = sorted(results, RolloutReplay::secondsToNone);
        return String.format(
                Locale.ROOT,
                "%-26s rollouts %d, taken back %d, share of all calls p50 %.2f%% max %.2f%%, "
                        + "first fault to none p50 %.1f s max %.1f s, raw rule sooner %d%s",
                scenario,
                results.size(),
                count(results, RolloutState.TAKEN_BACK),
                share[share.length / 2],
                share[share.length - 1],
                seconds[seconds.length / 2],
                seconds[seconds.length - 1],
                results.stream().filter(result -> result.course().rawRuleMillis() >= 0).count(),
                platform(results));
    }

    private static String platform(List<RolloutTrial.Result> results) {
        return String.format(
                Locale.ROOT,
                ", platform reads/s %.2f writes/s %.2f",
                results.stream()
                        .mapToDouble(RolloutTrial.Result::readsPerSecond)
                        .average()
                        .orElse(0),
                results.stream()
                        .mapToDouble(RolloutTrial.Result::writesPerSecond)
                        .average()
                        .orElse(0));
    }

    private static boolean doneInTime(RolloutTrial.Result result) {
        return result.rollout().state() == RolloutState.DONE && !result.rollout().finishedLate();
    }

    private static long count(List<RolloutTrial.Result> results, RolloutState state) {
        return results.stream().filter(result -> result.rollout().state() == state).count();
    }

    private static double secondsToNone(RolloutTrial.Result result) {
        TrialEngines.Course course = result.course();
        return course.firstFaultMillis() < 0
                ? 0
                : (course.lastNewMillis() - course.firstFaultMillis()) / SECOND_MILLIS;
    }

    private static double[] sorted(
            List<RolloutTrial.Result> results, ToDoubleFunction<RolloutTrial.Result> figure) {
        double[] figures = results.stream().mapToDouble(figure).toArray();
        Arrays.sort(figures);
        return figures;
    }
}
