package io.rhubarbward.daemon;

import static com.google.common.truth.Truth.assertThat;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Replaces standard output, so that its tests run one after the other. */
final class FleetLoggingTest {
    private final PrintStream mOutput = System.out;
    private final LoggerContext mContext = new LoggerContext();

    private ExecutionStatus configure(OutputStream output) {
        System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
        System.setProperty(FleetLogging.PROPERTY, "fleet");
        mContext.setMDCAdapter(new LogbackMDCAdapter());
        return new FleetLogging().configure(mContext);
    }

    @AfterEach
    void restore() {
        System.clearProperty(FleetLogging.PROPERTY);
        System.setOut(mOutput);
    }

    @Test
    void aLineIsWrittenAsItIs() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        assertThat(configure(output)).isEqualTo(ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY);
        mContext.getLogger("rhubarbward").info("{\"event\":\"a\"}");
        mContext.getLogger("io.netty").info("left out");
        mContext.stop();
        assertThat(output.toString(StandardCharsets.UTF_8))
                .isEqualTo("{\"event\":\"a\"}" + System.lineSeparator());
    }

    @Test
    void aReaderThatStopsHoldsUpNoDecision() throws Exception {
        CountDownLatch reads = new CountDownLatch(1);
        configure(
                new OutputStream() {
                    @Override
                    public void write(int octet) {
                        await(reads);
                    }
                });
        CompletableFuture<Void> decisions =
                CompletableFuture.runAsync(
                        () ->
                                IntStream.range(0, 20_000)
                                        .forEach(
                                                line ->
                                                        mContext.getLogger("rhubarbward")
                                                                .warn("line {}", line)));
        try {
            decisions.get(20, TimeUnit.SECONDS);
        } finally {
            reads.countDown();
            mContext.stop();
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void otherCommandsKeepTheirOwnConfiguration() {
        assertThat(new FleetLogging().configure(mContext))
                .isEqualTo(ExecutionStatus.INVOKE_NEXT_IF_ANY);
    }
}
