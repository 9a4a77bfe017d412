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

final class ControlBudgetTest {
    private static final int BUDGET = 12_288;
    private static final Duration WINDOW = Duration.ofSeconds(10);

    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final PrometheusRegistry mMetrics = new PrometheusRegistry();
    private final List<LogEvent> mLogged = new ArrayList<>();
    private final ControlBudget mBudget =
            new ControlBudget(() -> BUDGET, mTimers, new Recorder(), mMetrics);

    @Test
    void theShareIsShownAndOnlyMoreThanTheBudgetIsLogged() {
        mBudget.spend(BUDGET * 5);
        mTimers.advance(WINDOW);
        assertThat(share()).isEqualTo(0.5);
        assertThat(mLogged).isEmpty();
        mBudget.spend(BUDGET * 11);
        mTimers.advance(WINDOW);
        assertThat(mLogged).containsExactly(LogEvent.CONTROL_BUDGET_EXCEEDED);
        mTimers.advance(WINDOW);
        assertThat(share()).isEqualTo(0.0);
    }

    private double share() {
        GaugeSnapshot gauge = (GaugeSnapshot) mMetrics.scrape().get(0);
        return gauge.getDataPoints().get(0).getValue();
    }

    private final class Recorder implements EventLog {
        @Override
        public void log(LogEvent event, EventField... fields) {
            mLogged.add(event);
        }

        @Override
        public void log(LogEvent event, Throwable cause, EventField... fields) {
            mLogged.add(event);
        }
    }
}
