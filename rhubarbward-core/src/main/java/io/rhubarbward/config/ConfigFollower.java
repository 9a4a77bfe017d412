package io.rhubarbward.config;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.platform.ObjectStore;
import io.rhubarbward.platform.PlatformFailure;
import io.rhubarbward.platform.WatchBatch;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.time.Duration;

/** Watches the platform for accepted configurations and puts each in force. */
public final class ConfigFollower {
    private static final Duration WATCH_WAIT = Duration.ofSeconds(20);
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final String mSite;
    private final ObjectStore mStore;
    private final ConfigStore mConfigs;
    private final ConfigurationInForce mInForce;
    private final TimerService mTimers;
    private final EventLog mEvents;
    private boolean mRunning;

    /** Follows the configuration of the site. */
    public ConfigFollower(
            String site,
            ObjectStore store,
            ConfigurationInForce inForce,
            TimerService timers,
            EventLog events) {
        mSite = site;
        mStore = store;
        mConfigs = new ConfigStore(store);
        mInForce = inForce;
        mTimers = timers;
        mEvents = events;
    }

    /** Starts to follow. */
    public void start() {
        mRunning = true;
        watch(0);
    }

    /** Stops after the watch that waits now. */
    public void stop() {
        mRunning = false;
    }

    private void watch(long revision) {
        if (mRunning) {
            mStore.watch(ConfigKeys.HEAD.path(), revision, WATCH_WAIT)
                    .thenAccept(batch -> onBatch(batch, revision));
        }
    }

    private void onBatch(Either<PlatformFailure, WatchBatch> result, long before) {
        if (result.isLeft()) {
            mTimers.after(RETRY_DELAY, () -> watch(before));
            return;
        }
        WatchBatch batch = result.get();
        if (batch.changes().isEmpty() && !batch.gap()) {
            watch(batch.revision());
        } else {
            mConfigs.read(mSite).thenAccept(read -> onRead(read, batch.revision(), before));
        }
    }

    private void onRead(Either<ConfigFailure, Configuration> read, long revision, long before) {
        if (read.isRight()) {
            mInForce.offer(read.get());
            watch(revision);
            return;
        }
        mEvents.log(LogEvent.CONFIG_REFUSED, EventField.of("reason", read.getLeft().message()));
        mTimers.after(RETRY_DELAY, () -> watch(before));
    }
}
