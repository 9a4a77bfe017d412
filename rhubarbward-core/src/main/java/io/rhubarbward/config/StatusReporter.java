package io.rhubarbward.config;

import io.rhubarbward.store.ObjectStore;
import io.rhubarbward.store.PlatformFailure;
import io.rhubarbward.store.StoredObject;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Writes the status of the data centre to the platform: which generation each of its routers has in
 * force.
 *
 * <p>The status is one object, which only the data centre's first relay writes, when it changed and
 * once per refresh period. So the number of writes grows with the data centres and not with the
 * routers.
 */
final class StatusReporter {
    private static final Duration CHECK_PERIOD = Duration.ofSeconds(1);
    private static final Duration REFRESH_PERIOD = Duration.ofSeconds(30);
    private static final long NO_VERSION = 0;

    private final String mDataCentre;
    private final ObjectStore mStore;
    private final BooleanSupplier mActsAsFirstRelay;
    private final Supplier<Map<String, Long>> mGenerations;
    private final TimerService mTimers;
    private Map<String, Long> mWrittenGenerations = Map.of();
    private long mLastWriteMillis;
    private long mVersion = NO_VERSION;
    private boolean mWriteInProgress;

    StatusReporter(
            ConfigIdentity identity,
            ObjectStore store,
            BooleanSupplier actsAsFirstRelay,
            Supplier<Map<String, Long>> generations,
            TimerService timers) {
        mDataCentre = identity.dataCentre();
        mStore = store;
        mActsAsFirstRelay = actsAsFirstRelay;
        mGenerations = generations;
        mTimers = timers;
    }

    void start() {
        mTimers.every(CHECK_PERIOD, this::check);
    }

    /** Makes the next check write the status, even if it did not change. */
    void rewriteAtNextCheck() {
        mWrittenGenerations = Map.of();
    }

    private void check() {
        if (mWriteInProgress || !mActsAsFirstRelay.getAsBoolean()) {
            return;
        }
        Map<String, Long> generations = mGenerations.get();
        boolean refreshDue = mTimers.nowMillis() - mLastWriteMillis >= REFRESH_PERIOD.toMillis();
        if (refreshDue || !generations.equals(mWrittenGenerations)) {
            write(generations);
        }
    }

    private void write(Map<String, Long> generations) {
        mWriteInProgress = true;
        String value =
                new DataCentreStatus(mDataCentre, mTimers.epochMillis(), generations).render();
        CompletionStage<Either<PlatformFailure, StoredObject>> written =
                mVersion == NO_VERSION
                        ? mStore.create(ConfigKeys.status(mDataCentre), value)
                        : mStore.update(ConfigKeys.status(mDataCentre), value, mVersion);
        written.thenAccept(result -> onWritten(result, generations));
    }

    private void onWritten(
            Either<PlatformFailure, StoredObject> result, Map<String, Long> generations) {
        if (result.isLeft()) {
            // Another relay may have written, or this write took effect but its answer was lost.
            readVersion();
            return;
        }
        mWriteInProgress = false;
        mVersion = result.get().version();
        mWrittenGenerations = generations;
        mLastWriteMillis = mTimers.nowMillis();
    }

    private void readVersion() {
        mStore.read(ConfigKeys.status(mDataCentre))
                .thenAccept(
                        read -> {
                            mWriteInProgress = false;
                            if (read.isRight()) {
                                mVersion = read.get().version();
                            } else if (read.getLeft() instanceof PlatformFailure.NotFound) {
                                mVersion = NO_VERSION;
                            }
                        });
    }
}
