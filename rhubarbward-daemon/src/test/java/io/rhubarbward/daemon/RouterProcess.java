package io.rhubarbward.daemon;

import io.rhubarbward.standin.fleet.SampleConfig;
import java.io.IOException;
import java.net.BindException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A router in a process of its own, with less memory and fewer descriptors than in service. */
final class RouterProcess implements AutoCloseable {
    /** The descriptors that the settings file grants; 200 of them are for files. */
    static final int MAX_DESCRIPTORS = 600;

    private static final int HEAP_MB = 48;
    private static final int DIRECT_MB = 24;
    private static final int METASPACE_MB = 80;
    private static final int CODE_CACHE_MB = 24;

    /** The JVM itself: its libraries, the class data archive, thread stacks, collector tables. */
    private static final int JVM_MB = 64;

    /** Bound on the resident memory: the sum of the process's own limits. */
    static final long MAX_RESIDENT_KB =
            1024L * (HEAP_MB + DIRECT_MB + METASPACE_MB + CODE_CACHE_MB + JVM_MB);

    /** Ends a test whose process answers nothing; no result depends on it otherwise. */
    private static final long HANG_TIMEOUT_SECONDS = 60;

    /** Pause between attempts, so that the test does not become a crowd of its own. */
    private static final long RETRY_MILLIS = 200;

    private static final int OK = 200;

    private final Process mProcess;
    private final Path mOutput;
    private final int mCallersPort;
    private final int mForwardingPort;

    private RouterProcess(Process process, Path output, List<String> ports) {
        mProcess = process;
        mOutput = output;
        mCallersPort = Integer.parseInt(ports.get(0));
        mForwardingPort = Integer.parseInt(ports.get(2));
    }

    /** Starts a router and waits until it is ready. */
    static RouterProcess start(Path folder, String storeAddress) throws Exception {
        Path output = folder.resolve("output");
        Path ports = folder.resolve("ports");
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx" + HEAP_MB + "m",
                                "-Xss256k",
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-XX:MaxMetaspaceSize=" + METASPACE_MB + "m",
                                "-XX:ReservedCodeCacheSize=" + CODE_CACHE_MB + "m",
                                "-XX:MaxDirectMemorySize=" + DIRECT_MB + "m",
                                // A process that lacks memory in one thread would go on without it.
                                "-XX:+ExitOnOutOfMemoryError",
                                "-Dio.netty.allocator.numHeapArenas=1",
                                "-Dio.netty.allocator.numDirectArenas=1",
                                "-Dio.netty.noPreferDirect=true",
                                "-cp",
                                System.getProperty("java.class.path"),
                                RouterProcessMain.class.getName(),
                                nodeFile(folder, storeAddress).toString(),
                                ports.toString()));
        Process process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(output.toFile())
                        .start();
        try {
            awaitTrue(() -> Files.exists(ports), process, output);
            RouterProcess router = new RouterProcess(process, output, Files.readAllLines(ports));
            int readinessPort = Integer.parseInt(Files.readAllLines(ports).get(1));
            awaitTrue(() -> ready(readinessPort), process, output);
            return router;
        } catch (Exception e) {
            process.destroyForcibly().waitFor();
            throw e;
        }
    }

    private static boolean ready(int port) throws IOException {
        HttpURLConnection connection =
                (HttpURLConnection)
                        URI.create("http://127.0.0.1:" + port + "/").toURL().openConnection();
        return connection.getResponseCode() == OK;
    }

    private static Path nodeFile(Path folder, String storeAddress) throws IOException {
        int internalPort = twoFreePorts();
        return Files.write(
                folder.resolve("settings.conf"),
                List.of(
                        "node=front-a-1",
                        "zone=a",
                        "listen.front=127.0.0.1:0",
                        "listen.ready=127.0.0.1:0",
                        "internalPorts=" + internalPort + "," + (internalPort + 1),
                        "platform.address=" + storeAddress,
                        "limits.maxFds=" + MAX_DESCRIPTORS,
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

    int callersPort() {
        return mCallersPort;
    }

    int forwardingPort() {
        return mForwardingPort;
    }

    boolean alive() {
        return mProcess.isAlive();
    }

    /** Returns the largest resident memory that the process had so far. */
    long maxResidentKb() throws IOException {
        return Files.readAllLines(proc("status")).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findFirst()
                .orElseThrow();
    }

    long openDescriptors() throws IOException {
        try (Stream<Path> descriptors = Files.list(proc("fd"))) {
            return descriptors.count();
        }
    }

    private Path proc(String name) {
        return Path.of("/proc", Long.toString(mProcess.pid()), name);
    }

    /** Sends an ordinary request until it is served, as a caller that is refused does. */
    void awaitServed() throws Exception {
        awaitTrue(this::ordinaryRequestServed, mProcess, mOutput);
    }

    /** Sends a request on a new connection, which is accepted after those that wait. */
    private boolean ordinaryRequestServed() throws IOException {
        String request =
                "POST /plain/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 0\r\n"
                        + "Rhubarbward-Attempt-Id: ordinary\r\nConnection: close\r\n"
                        + "Authorization: Bearer "
                        + SampleConfig.API_KEY
                        + "\r\n\r\n";
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), mCallersPort)) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(HANG_TIMEOUT_SECONDS));
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            String answer =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            return answer.startsWith("HTTP/1.1 200 ");
        }
    }

    /** A check that may fail as long as a connection to the process fails. */
    @FunctionalInterface
    private interface Check {
        boolean holds() throws IOException;
    }

    private static void awaitTrue(Check check, Process process, Path output) throws Exception {
        long startNanos = System.nanoTime();
        String last = "";
        while (true) {
            try {
                if (check.holds()) {
                    return;
                }
            } catch (IOException e) {
                last = e.toString();
            }
            boolean ended = process.waitFor(RETRY_MILLIS, TimeUnit.MILLISECONDS);
            long waitedSeconds = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startNanos);
            if (ended || waitedSeconds > HANG_TIMEOUT_SECONDS) {
                throw new AssertionError(
                        (ended ? "the process ended: " : "no answer: ")
                                + last
                                + "\n"
                                + tail(output));
            }
        }
    }

    private static String tail(Path output) throws IOException {
        List<String> lines = Files.readAllLines(output);
        return String.join("\n", lines.subList(Math.max(0, lines.size() - 20), lines.size()));
    }

    @Override
    public void close() throws InterruptedException {
        mProcess.destroyForcibly().waitFor();
    }
}
