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

/** Replaces standard output, so its tests must not run in parallel. */
final class FleetLoggingTest {
    private final PrintStream mOriginalOutput = System.out;
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
        System.setOut(mOriginalOutput);
    }

    @Test
    void aMessageIsWrittenUnchanged() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        assertThat(configure(output)).isEqualTo(ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY);
        mContext.getLogger("rhubarbward").info("{\"event\":\"a\"}");
        mContext.getLogger("io.netty").info("below the root level");
        mContext.stop();
        assertThat(output.toString(StandardCharsets.UTF_8))
                .isEqualTo("{\"event\":\"a\"}" + System.lineSeparator());
    }

    @Test
    void aStalledReaderOfStandardOutputDoesNotBlockLogging() throws Exception {
        CountDownLatch readerResumes = new CountDownLatch(1);
        configure(
                new OutputStream() {
                    @Override
                    public void write(int value) {
                        await(readerResumes);
                    }
                });
        CompletableFuture<Void> logging =
                CompletableFuture.runAsync(
                        () ->
                                IntStream.range(0, 20_000)
                                        .forEach(
                                                line ->
                                                        mContext.getLogger("rhubarbward")
                                                                .warn("line {}", line)));
        try {
            logging.get(20, TimeUnit.SECONDS);
        } finally {
            readerResumes.countDown();
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
    void withoutTheSystemPropertyTheNextConfiguratorApplies() {
        assertThat(new FleetLogging().configure(mContext))
                .isEqualTo(ExecutionStatus.INVOKE_NEXT_IF_ANY);
    }
}
