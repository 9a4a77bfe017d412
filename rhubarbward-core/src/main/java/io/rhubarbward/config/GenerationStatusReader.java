package io.rhubarbward.config;

import io.rhubarbward.store.EitherStage;
import io.rhubarbward.store.ObjectStore;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Tells operators where a generation is in force, and waits until it is everywhere. */
public final class GenerationStatusReader {
    private static final Duration POLL_PERIOD = Duration.ofMillis(500);

    private final ConfigStore mConfigs;
    private final TimerService mTimers;

    /** Reads reports from the store. */
    public GenerationStatusReader(ObjectStore store, TimerService timers) {
        mConfigs = new ConfigStore(store);
        mTimers = timers;
    }

    /** Reports on the generation; empty stands for the newest accepted one. */
    public CompletionStage<Either<ConfigFailure, GenerationReport>> report(
            OptionalLong generation) {
        return EitherStage.flatMap(
                generation.isPresent()
                        ? EitherStage.completed(Either.right(generation.getAsLong()))
                        : mConfigs.generation(),
                asked ->
                        EitherStage.flatMap(
                                mConfigs.dataCentres().list(),
                                sites -> {
                                    Set<String> known = new TreeSet<>();
                                    sites.values().forEach(states -> known.addAll(states.keySet()));
                                    return report(asked, known);
                                }));
    }

    /** A data centre that the settings no longer name has nothing left to report. */
    private CompletionStage<Either<ConfigFailure, GenerationReport>> report(
            long generation, Set<String> dataCentres) {
        return mConfigs.statuses()
                .thenApply(
                        read ->
                                read.map(
                                        statuses ->
                                                GenerationReport.of(
                                                        generation,
                                                        known(
                                                                List.copyOf(statuses),
                                                                dataCentres))));
    }

    private static List<DataCentreStatus> known(
            List<DataCentreStatus> statuses, Set<String> dataCentres) {
        return statuses.stream()
                .filter(status -> dataCentres.contains(status.dataCentre()))
                .toList();
    }

    /** Reports as soon as the generation is in force everywhere, and at the limit in any case. */
    public CompletionStage<Either<ConfigFailure, GenerationReport>> await(
            OptionalLong generation, Duration limit) {
        CompletableFuture<Either<ConfigFailure, GenerationReport>> result =
                new CompletableFuture<>();
        poll(generation, mTimers.nowMillis() + limit.toMillis(), result);
        return result;
    }

    private void poll(
            OptionalLong generation,
            long limitMillis,
            CompletableFuture<Either<ConfigFailure, GenerationReport>> result) {
        report(generation)
                .thenAccept(
                        report -> {
                            boolean inForce =
                                    report.map(GenerationReport::inForceEverywhere).getOrElse(false);
                            if (inForce || mTimers.nowMillis() >= limitMillis) {
                                result.complete(report);
                                return;
                            }
                            // What is accepted meanwhile is another operator's to wait for.
                            OptionalLong asked =
                                    report.map(read -> OptionalLong.of(read.generation()))
                                            .getOrElse(generation);
                            mTimers.after(POLL_PERIOD, () -> poll(asked, limitMillis, result));
                        });
    }
}
