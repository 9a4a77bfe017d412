package io.rhubarbward.net.peer;

import static com.google.common.truth.Truth.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.timer.VirtualTimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class PeerTrafficMonitorTest {
    private static final int BUDGET_BYTES_PER_SECOND = 12_288;
    private static final Duration WINDOW = Duration.ofSeconds(10);

    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final PrometheusRegistry mMetrics = new PrometheusRegistry();
    private final List<LogEvent> mLoggedEvents = new ArrayList<>();
    private final PeerTrafficMonitor mMonitor =
            new PeerTrafficMonitor(
                    () -> BUDGET_BYTES_PER_SECOND, mTimers, new RecordingEventLog(), mMetrics);

    @Test
    void budgetShareIsExportedAndOnlyTrafficOverTheBudgetIsLogged() {
        mMonitor.recordBytes(BUDGET_BYTES_PER_SECOND * 5);
        mTimers.advance(WINDOW);
        assertThat(budgetShare()).isEqualTo(0.5);
        assertThat(mLoggedEvents).isEmpty();
        mMonitor.recordBytes(BUDGET_BYTES_PER_SECOND * 11);
        mTimers.advance(WINDOW);
        assertThat(mLoggedEvents).containsExactly(LogEvent.CONTROL_BUDGET_EXCEEDED);
        mTimers.advance(WINDOW);
        assertThat(budgetShare()).isEqualTo(0.0);
    }

    private double budgetShare() {
        GaugeSnapshot gauge = (GaugeSnapshot) mMetrics.scrape().get(0);
        return gauge.getDataPoints().get(0).getValue();
    }

    private final class RecordingEventLog implements EventLog {
        @Override
        public void log(LogEvent event, EventField... fields) {
            mLoggedEvents.add(event);
        }

        @Override
        public void log(LogEvent event, Throwable cause, EventField... fields) {
            mLoggedEvents.add(event);
        }
    }
}
