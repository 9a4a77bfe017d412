package io.rhubarbward.net.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.request.ConnectionRefusal;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what is recorded of a connection that this process closes. */
final class ClosedConnectionTest extends EmbeddedListener {
    /** Guards against a log that does not tell a false cut from that of a slow reader. */
    @Test
    void theRecordTellsTheStateOfTheConnection() {
        EmbeddedChannel channel = connect();
        send(channel, REQUEST);
        mClientReadsNothing = true;
        begin(channel, 0);
        assertThat(mResponses.get(0).closeCause()).isEmpty();
        advance(channel, IDLE_MILLIS);
        ConnectionState state = mRefusedStates.get(0);
        assertThat(state.pendingBytes()).isAtLeast(100);
        assertThat(state.requestInProgress()).isTrue();
        assertThat(mResponses.get(0).closeCause()).hasValue(ConnectionRefusal.SLOW_READER);
    }

    /** Guards against a caller that leaves and looks like one that was cut off. */
    @Test
    void aConnectionThatItsClientClosesHasNoCause() {
        EmbeddedChannel channel = connect();
        send(channel, REQUEST);
        channel.close();
        run(channel);
        assertThat(mResponses.get(0).closeCause()).isEmpty();
        assertThat(mRefusals).isEmpty();
    }

    /** Guards against a connection that an error of this process closes without a trace. */
    @Test
    void anErrorThatClosesAConnectionIsRecorded() {
        EmbeddedChannel channel = connect();
        send(channel, REQUEST);
        channel.pipeline().fireExceptionCaught(new IllegalStateException("expected a head"));
        run(channel);
        assertThat(mRefusals).containsExactly(ConnectionRefusal.INTERNAL_ERROR);
        assertThat(mRefusedStates.get(0).detail()).contains("expected a head");
        assertThat(mResponses.get(0).closeCause()).hasValue(ConnectionRefusal.INTERNAL_ERROR);
    }

    /** Guards against a log line without what an operator needs to find the client. */
    @Test
    void theLogLineHasTheStateOfTheConnection() {
        RecordingLog log = new RecordingLog();
        HttpResources resources = HttpResources.ofHeap(new PrometheusRegistry(), log, () -> 0);
        EmbeddedChannel channel = connect();
        send(channel, REQUEST);
        resources.close(channel, ConnectionRefusal.PIPELINE_MEMORY_FULL);
        assertThat(log.mFields)
                .containsExactly(
                        EventField.of("cause", "pipeline-memory-full"),
                        EventField.of("client", ""),
                        EventField.of("pendingBytes", 0L),
                        EventField.of("requestInProgress", true),
                        EventField.of("detail", ""));
    }

    private static final class RecordingLog implements EventLog {
        private final List<EventField> mFields = new ArrayList<>();

        @Override
        public void log(LogEvent event, EventField... fields) {
            mFields.addAll(Arrays.asList(fields));
        }

        @Override
        public void log(LogEvent event, Throwable cause, EventField... fields) {
            log(event, fields);
        }
    }
}
