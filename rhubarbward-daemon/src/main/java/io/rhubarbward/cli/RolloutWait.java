package io.rhubarbward.cli;

import io.rhubarbward.daemon.PlatformConnection;
import io.rhubarbward.move.Rollout;
import io.rhubarbward.move.RolloutFailure;
import io.rhubarbward.move.RolloutStore;
import io.rhubarbward.move.StoredRollout;
import io.rhubarbward.store.PlatformFailure;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Polls a rollout until it ends or a time limit passes, also through outages of the platform. */
final class RolloutWait {
    private static final Duration POLL_PERIOD = Duration.ofSeconds(1);

    private final PlatformConnection mPlatform;
    private final RolloutStore mStore;
    private final boolean mKeepWaitingWhenLate;
    private final long mDeadlineMillis;

    RolloutWait(PlatformConnection platform, boolean keepWaitingWhenLate, int limitSeconds) {
        mPlatform = platform;
        mStore = new RolloutStore(platform.store());
        mKeepWaitingWhenLate = keepWaitingWhenLate;
        mDeadlineMillis =
                platform.timers().nowMillis() + Duration.ofSeconds(limitSeconds).toMillis();
    }

    /**
     * Blocks until the named rollout ends or the time limit passes.
     *
     * @return the outcome, or a failure if no such rollout exists or the read at the limit failed
     */
    Either<RolloutFailure, Outcome> await(String name) {
        while (true) {
            Either<RolloutFailure, StoredRollout> read =
                    mStore.read(name).toCompletableFuture().join();
            boolean expired = mPlatform.timers().nowMillis() >= mDeadlineMillis;
            if (read.isLeft() && (expired || isNotFound(read.getLeft()))) {
                return Either.left(read.getLeft());
            }
            Optional<Outcome> outcome =
                    read.toJavaOptional().map(stored -> outcome(stored.rollout()));
            if (outcome.isPresent()
                    && (expired || outcome.get().exitCode() != ExitCode.NOT_ENDED)) {
                return Either.right(outcome.get());
            }
            pause();
        }
    }

    private static boolean isNotFound(RolloutFailure failure) {
        return failure instanceof RolloutFailure.Platform platform
                && platform.cause() instanceof PlatformFailure.NotFound;
    }

    private Outcome outcome(Rollout rollout) {
        ExitCode exitCode =
                switch (rollout.state()) {
                    case TAKEN_BACK -> ExitCode.TAKEN_BACK;
                    case DONE -> rollout.finishedLate() ? ExitCode.LATE : ExitCode.OK;
                    case LATE -> mKeepWaitingWhenLate ? ExitCode.NOT_ENDED : ExitCode.LATE;
                    case PLANNED, RUNNING, WATCHING -> ExitCode.NOT_ENDED;
                };
        return new Outcome(rollout, exitCode);
    }

    private void pause() {
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        mPlatform.timers().after(POLL_PERIOD, () -> elapsed.complete(null));
        elapsed.join();
    }

    /** The rollout as last read, and the exit code for its state. */
    record Outcome(Rollout rollout, ExitCode exitCode) {}
}
