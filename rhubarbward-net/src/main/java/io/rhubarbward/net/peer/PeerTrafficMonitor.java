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
 * Measures the traffic to and from peers, and compares it with the budget in the settings.
 *
 * <p>It only reports: no message is dropped to stay within the budget, because the system's
 * guarantees depend on the messages and matter more.
 */
final class PeerTrafficMonitor {
    private static final Duration WINDOW = Duration.ofSeconds(10);

    private final IntSupplier mBudgetBytesPerSecond;
    private final EventLog mEvents;
    private final Gauge mBudgetShare;
    private long mBytesInWindow;

    /** Starts to measure; a budget of 0 means that the settings are not known yet. */
    PeerTrafficMonitor(
            IntSupplier budgetBytesPerSecond,
            TimerService timers,
            EventLog events,
            PrometheusRegistry metrics) {
        mBudgetBytesPerSecond = budgetBytesPerSecond;
        mEvents = events;
        mBudgetShare =
                Gauge.builder()
                        .name("rhubarbward_control_budget_share")
                        .help("Bytes to and from peers a second over control.bytesPerSecond.")
                        .register(metrics);
        timers.every(WINDOW, this::reportWindow);
    }

    void recordBytes(int bytes) {
        mBytesInWindow += bytes;
    }

    private void reportWindow() {
        long bytesPerSecond = mBytesInWindow / WINDOW.toSeconds();
        mBytesInWindow = 0;
        int budget = mBudgetBytesPerSecond.getAsInt();
        if (budget == 0) {
            return;
        }
        mBudgetShare.set((double) bytesPerSecond / budget);
        if (bytesPerSecond > budget) {
            mEvents.log(
                    LogEvent.CONTROL_BUDGET_EXCEEDED,
                    EventField.of("bytesPerSecond", bytesPerSecond),
                    EventField.of("budget", budget));
        }
    }
}
