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

/** Reports which routers have a generation in force, and waits until all have it. */
public final class GenerationStatusReader {
    private static final Duration POLL_PERIOD = Duration.ofMillis(500);

    private final ConfigStore mConfigStore;
    private final TimerService mTimers;

    /** Reads the data centres' statuses from the given store. */
    public GenerationStatusReader(ObjectStore store, TimerService timers) {
        mConfigStore = new ConfigStore(store);
        mTimers = timers;
    }

    /** Reports on the generation; if it is empty, on the newest accepted one. */
    public CompletionStage<Either<ConfigFailure, GenerationReport>> report(
            OptionalLong generation) {
        return EitherStage.flatMap(
                generation.isPresent()
                        ? EitherStage.completed(Either.right(generation.getAsLong()))
                        : mConfigStore.generation(),
                requested ->
                        EitherStage.flatMap(
                                mConfigStore.dataCentres().list(),
                                statesBySite -> {
                                    Set<String> dataCentres = new TreeSet<>();
                                    statesBySite
                                            .values()
                                            .forEach(states -> dataCentres.addAll(states.keySet()));
                                    return report(requested, dataCentres);
                                }));
    }

    /** Leaves out the statuses of data centres that the settings no longer contain. */
    private CompletionStage<Either<ConfigFailure, GenerationReport>> report(
            long generation, Set<String> dataCentres) {
        return mConfigStore
                .statuses()
                .thenApply(
                        read ->
                                read.map(
                                        statuses ->
                                                GenerationReport.of(
                                                        generation,
                                                        ofDataCentres(
                                                                List.copyOf(statuses),
                                                                dataCentres))));
    }

    private static List<DataCentreStatus> ofDataCentres(
            List<DataCentreStatus> statuses, Set<String> dataCentres) {
        return statuses.stream()
                .filter(status -> dataCentres.contains(status.dataCentre()))
                .toList();
    }

    /**
     * Reports as soon as the generation is in force everywhere, or after the timeout at the latest.
     */
    public CompletionStage<Either<ConfigFailure, GenerationReport>> await(
            OptionalLong generation, Duration timeout) {
        CompletableFuture<Either<ConfigFailure, GenerationReport>> result =
                new CompletableFuture<>();
        poll(generation, mTimers.nowMillis() + timeout.toMillis(), result);
        return result;
    }

    private void poll(
            OptionalLong generation,
            long deadlineMillis,
            CompletableFuture<Either<ConfigFailure, GenerationReport>> result) {
        report(generation)
                .thenAccept(
                        report -> {
                            boolean inForce =
                                    report.map(GenerationReport::inForceEverywhere)
                                            .getOrElse(false);
                            if (inForce || mTimers.nowMillis() >= deadlineMillis) {
                                result.complete(report);
                                return;
                            }
                            // Stays with the same generation even if another one is accepted in the
                            // meantime.
                            OptionalLong requested =
                                    report.map(read -> OptionalLong.of(read.generation()))
                                            .getOrElse(generation);
                            mTimers.after(
                                    POLL_PERIOD, () -> poll(requested, deadlineMillis, result));
                        });
    }
}
