package io.rhubarbward.cli;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.daemon.FleetRouterDaemon;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the program in a process of its own. */
final class FailedStartTest {
    private static final long EXIT_TIMEOUT_SECONDS = 60;

    /** Guards against a process that holds its sockets, serves nobody and is never restarted. */
    @Test
    void aProcessWhoseMetricsPortIsInUseEnds(@TempDir Path folder) throws Exception {
        Path output = folder.resolve("output");
        try (ServerSocket metrics = new ServerSocket()) {
            occupy(metrics);
            Process process =
                    new ProcessBuilder(
                                    Path.of(System.getProperty("java.home"), "bin", "java")
                                            .toString(),
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    Main.class.getName(),
                                    "fleet",
                                    "--node-file",
                                    nodeFile(folder).toString())
                            .redirectErrorStream(true)
                            .redirectOutput(output.toFile())
                            .start();
            try {
                assertThat(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
                assertThat(process.exitValue()).isEqualTo(ExitCode.FAILED.status());
            } finally {
                process.destroyForcibly().waitFor();
            }
        }
        assertThat(Files.readString(output)).contains(":" + FleetRouterDaemon.METRICS_PORT);
    }

    private static void occupy(ServerSocket metrics) throws IOException {
        try {
            metrics.bind(
                    new InetSocketAddress(
                            InetAddress.getLoopbackAddress(), FleetRouterDaemon.METRICS_PORT));
        } catch (BindException e) {
            // Another process has the port, which serves the test as well.
            assertThat(metrics.isBound()).isFalse();
        }
    }

    private static Path nodeFile(Path folder) throws IOException {
        int internalPort = twoFreePorts();
        return Files.write(
                folder.resolve("settings.conf"),
                List.of(
                        "node=front-a-1",
                        "zone=a",
                        "listen.front=127.0.0.1:0",
                        "listen.ready=127.0.0.1:0",
                        "internalPorts=" + internalPort + "," + (internalPort + 1),
                        "platform.address=127.0.0.1:1",
                        "bounds.strictRevoke=true",
                        "bounds.revokeMs=5000",
                        "bounds.retryBudgetRatio=0.2",
                        "bounds.budgetWindowS=10",
                        "bounds.retryBudgetSlack=58",
                        "bounds.exposureShare=0.1",
                        "bounds.graceS=8"));
    }

    /** Returns the first of two successive ports that are free. */
    private static int twoFreePorts() throws IOException {
        while (true) {
            try (ServerSocket first = new ServerSocket(0);
                    ServerSocket second = new ServerSocket(first.getLocalPort() + 1)) {
                return second.getLocalPort() - 1;
            } catch (BindException e) {
                // The port after it is in use; the next round draws another one.
                continue;
            }
        }
    }
}
