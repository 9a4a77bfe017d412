package io.rhubarbward.net.peer;

import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.function.IntSupplier;

/**
 * Holds the traffic with peers, both ways, against the budget in the settings.
 *
 * <p>Nothing is dropped for it: a message that keeps a promise is worth more than the budget.
 */
final class ControlBudget {
    private static final Duration WINDOW = Duration.ofSeconds(10);

    private final IntSupplier mBytesPerSecond;
    private final EventLog mEvents;
    private final Gauge mShare;
    private long mBytes;

    /** Counts from now on; a budget of 0 is not known yet. */
    ControlBudget(
            IntSupplier bytesPerSecond,
            TimerService timers,
            EventLog events,
            PrometheusRegistry metrics) {
        mBytesPerSecond = bytesPerSecond;
        mEvents = events;
        mShare =
                Gauge.builder()
                        .name("rhubarbward_control_budget_share")
                        .help("Bytes to and from peers a second over control.bytesPerSecond.")
                        .register(metrics);
        timers.every(WINDOW, this::close);
    }

    void spend(int bytes) {
        mBytes += bytes;
    }

    private void close() {
        long perSecond = mBytes / WINDOW.toSeconds();
        mBytes = 0;
        int budget = mBytesPerSecond.getAsInt();
        if (budget == 0) {
            return;
        }
        mShare.set((double) perSecond / budget);
        if (perSecond > budget) {
            mEvents.log(
                    LogEvent.CONTROL_BUDGET_EXCEEDED,
                    EventField.of("bytesPerSecond", perSecond),
                    EventField.of("budget", budget));
        }
    }
}
