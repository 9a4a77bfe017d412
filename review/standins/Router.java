package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A router, started as a process of its own with the run command of the deploy file. */
final class Router implements AutoCloseable {
    /** The deploy file names this port for the metrics on every machine. */
    private static final int METRICS_PORT = 9464;

    private static final long READY_TIMEOUT_MILLIS = 25_000;

    private final Path mRoot;
    private final Path mFolder;
    private final String mName;
    private final String mHost;
    private final int mFrontPort;
    private final int mReadyPort;
    private Process mProcess;

    Router(
            Path root,
            Path folder,
            String name,
            String zone,
            String host,
            String store,
            Map<String, String> bounds)
            throws IOException {
        mRoot = root;
        mFolder = folder;
        mName = name;
        mHost = host;
        int base = freePorts(host);
        mFrontPort = base;
        mReadyPort = base + 1;
        List<String> lines =
                new ArrayList<>(
                        List.of(
                                "node=" + name,
                                "role=router",
                                "machineClass=front",
                                "serves=front",
                                "ip=" + host,
                                "zone=" + zone,
                                "region=lima",
                                "zones." + zone + "=lima",
                                "listen.front=" + host + ":" + mFrontPort,
                                "listen.ready=" + host + ":" + mReadyPort,
                                "internalPorts=" + (base + 3) + "," + (base + 12),
                                "bootstrap=true",
                                "limits.cpuShare=0.75",
                                "limits.cores=1",
                                "limits.memoryMb=430",
                                "limits.maxFds=4100",
                                "limits.linkMbps=1000.0",
                                "discovery=platform",
                                "entry=vip",
                                "heartbeatMs=1200",
                                "platform.address=" + store,
                                "platform.form=objects",
                                "platform.writesPerS=400",
                                "platform.readsPerS=2000",
                                "platform.historyS=20",
                                "platform.valueBytes=1048576"));
        bounds.forEach((key, value) -> lines.add("bounds." + key + "=" + value));
        Files.write(folder.resolve(name + ".conf"), lines);
    }

    /** Returns a loopback address that is free for one machine, another one for each run. */
    static String freeHost(int number) throws IOException {
        long process = ProcessHandle.current().pid();
        for (int i = 1; i < 250; i++) {
            String host = "127." + (20 + process % 200) + "." + i + "." + (10 + number);
            try (ServerSocket probe =
                    new ServerSocket(METRICS_PORT, 1, InetAddress.getByName(host))) {
                return host;
            } catch (IOException e) {
                // Another run uses the address.
            }
        }
        throw new IOException("no loopback address is free");
    }

    private static int freePorts(String host) throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return probe.getLocalPort() > 60_000
                    ? probe.getLocalPort() - 20_000
                    : probe.getLocalPort();
        }
    }

    void start() throws IOException {
        String[] command = runCommand().split(" +");
        ProcessBuilder builder = new ProcessBuilder(command).directory(mRoot.toFile());
        builder.environment()
                .keySet()
                .retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment()
                .put("RHUBARBWARD_NODE_FILE", mFolder.resolve(mName + ".conf").toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(mFolder.resolve(mName + ".log").toFile()));
        mProcess = builder.start();
    }

    private String runCommand() throws IOException {
        return Files.readAllLines(mRoot.resolve("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = \""))
                .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                .findFirst()
                .orElseThrow(() -> new IOException("the deploy file has no run command"));
    }

    void awaitReady() throws IOException {
        long deadline = System.currentTimeMillis() + READY_TIMEOUT_MILLIS;
        while (!ready()) {
            if (System.currentTimeMillis() > deadline || !mProcess.isAlive()) {
                throw new IOException(mName + " is not ready");
            }
            Cases.sleep(50);
        }
    }

    boolean ready() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(mHost, mReadyPort), 500);
            socket.setSoTimeout(1000);
            socket.getOutputStream()
                    .write(
                            "GET /api/readiness HTTP/1.1\r\nHost: platform\r\n\r\n"
                                    .getBytes(StandardCharsets.ISO_8859_1));
            return Head.read(socket.getInputStream())
                    .map(head -> head.status() == 200)
                    .orElse(false);
        } catch (IOException e) {
            return false;
        }
    }

    InetSocketAddress front() {
        return new InetSocketAddress(mHost, mFrontPort);
    }

    String name() {
        return mName;
    }

    boolean alive() {
        return mProcess.isAlive();
    }

    void terminate() {
        mProcess.destroy();
    }

    /** Kills the process and waits for its end. */
    void kill() {
        mProcess.destroyForcibly();
        try {
            mProcess.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        if (mProcess != null) {
            kill();
        }
    }
}
