import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the system, started with the run command of the deploy file. */
final class Router implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    private final String mName;
    private final String mIp;
    private final int mFront;
    private final int mReady;
    private final Path mLog;
    private final Path mSettings;
    private final Path mRepository;
    private Process mProcess;

    /**
     * Prepares a process.
     *
     * @param ip a loopback address of its own, since the port of the metrics is the same for all
     * @param changes settings that differ from those of a small deployment
     */
    Router(String name, String zone, String ip, String store, Path folder, Map<String, String> changes)
            throws IOException {
        mName = name;
        mIp = ip;
        mRepository = Path.of("").toAbsolutePath();
        mLog = folder.resolve(name + ".log");
        mSettings = folder.resolve(name + ".conf");
        List<Integer> ports = freePorts(ip, 4);
        mFront = ports.get(0);
        mReady = ports.get(1);
        int internal = ports.get(2);
        List<String> lines = new ArrayList<>(SETTINGS.lines().toList());
        lines.add("node=" + name);
        lines.add("zone=" + zone);
        lines.add("ip=" + ip);
        lines.add("listen.front=" + ip + ":" + mFront);
        lines.add("listen.ready=" + ip + ":" + mReady);
        lines.add("internalPorts=" + internal + "," + (internal + 1));
        lines.add("platform.address=" + store);
        changes.forEach((key, value) -> lines.add(key + "=" + value));
        Files.write(mSettings, lines);
    }

    private static List<Integer> freePorts(String ip, int count) throws IOException {
        InetAddress address = InetAddress.getByName(ip);
        List<Integer> ports = new ArrayList<>();
        while (ports.size() < count) {
            try (ServerSocket first = new ServerSocket(0, 1, address);
                    ServerSocket second =
                            new ServerSocket(first.getLocalPort() + 1, 1, address)) {
                if (!ports.contains(first.getLocalPort())
                        && !ports.contains(second.getLocalPort())
                        && !ports.contains(first.getLocalPort() - 1)) {
                    ports.add(first.getLocalPort());
                }
            } catch (IOException e) {
                // The next port is in use: others are tried.
            }
        }
        return ports;
    }

    void start() throws IOException {
        String deploy = Files.readString(mRepository.resolve("deploy/system.toml"));
        Matcher run = RUN.matcher(deploy);
        if (!run.find()) {
            throw new IOException("deploy/system.toml names no run command");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.directory(mRepository.toFile());
        builder.environment()
                .keySet()
                .removeIf(key -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(key));
        builder.environment().put("RHUBARBWARD_NODE_FILE", mSettings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()));
        mProcess = builder.start();
    }

    boolean awaitReady(long millis) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < end && mProcess.isAlive()) {
            if (ready()) {
                return true;
            }
            Replica.sleep(50);
        }
        return false;
    }

    boolean ready() {
        return readiness() == 200;
    }

    /** Returns the status of the answer to a readiness check; 0 if there is none in time. */
    int readiness() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(mIp, mReady), 1000);
            socket.setSoTimeout(2000);
            socket.getOutputStream()
                    .write(Http.bytes("GET /api/readiness HTTP/1.1\r\nHost: r\r\n\r\n"));
            Http.Message answer = Http.read(socket.getInputStream());
            return answer == null ? 0 : answer.status();
        } catch (IOException e) {
            return 0;
        }
    }

    Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(mIp, mFront), 1000);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** Sends the bytes on a new connection and reads one answer; null if there is none. */
    Http.Message send(String request, int timeoutMillis) throws IOException {
        try (Socket socket = connect()) {
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(Http.bytes(request));
            InputStream in = Http.buffered(socket.getInputStream());
            return Http.read(in);
        }
    }

    String metrics() throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(mIp, 9464), 1000);
            socket.setSoTimeout(2000);
            socket.getOutputStream().write(Http.bytes("GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n"));
            return Http.read(Http.buffered(socket.getInputStream())).text();
        }
    }

    void signal(String name) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    boolean alive() {
        return mProcess.isAlive();
    }

    int exitValue() {
        return mProcess.exitValue();
    }

    /** Returns the resident memory of the process in megabytes. */
    long residentMegabytes() throws IOException {
        Path status = Path.of("/proc/" + mProcess.pid() + "/status");
        if (!Files.exists(status)) {
            return 0;
        }
        return Files.readAllLines(status).stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024)
                .findFirst()
                .orElse(0);
    }

    String name() {
        return mName;
    }

    Path log() {
        return mLog;
    }

    @Override
    public void close() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
            try {
                mProcess.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** The settings of a small deployment, from DEPLOY.md. */
    private static final String SETTINGS =
            """
            role=router
            machineClass=front
            serves=front
            region=lima
            zones.lima-norte=lima
            zones.lima-centro=lima
            zones.lima-sur=lima
            bootstrap=true
            inFaultBudget=false
            limits.cpuShare=0.75
            limits.cores=1
            limits.memoryMb=430
            limits.maxFds=4100
            limits.linkMbps=1000.0
            limits.diskMb=0
            discovery=platform
            entry=vip
            heartbeatMs=1200
            contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,rollout,platform
            faultTolerance.machines=1
            faultTolerance.zones=1
            faultTolerance.regions=0
            bounds.seedLagS=3
            bounds.addrReuseS=2
            bounds.contactMs=3000
            bounds.ackMs=4000
            bounds.catchUpS=4
            bounds.drainMs=2000
            bounds.graceS=8
            bounds.lossSlackMs=200
            bounds.configApplyMs=2000
            bounds.rollbackSlackMs=250
            bounds.maxStretchMs=5000
            bounds.strictRevoke=true
            bounds.revokeMs=5000
            bounds.retryBudgetRatio=0.2
            bounds.budgetWindowS=10
            bounds.retryBudgetSlack=58
            bounds.exposureShare=0.1
            bounds.exposureSlack=50
            bounds.rollbackMs=5000
            bounds.coldExcess=1.5
            bounds.coldSlack=5
            bounds.evacuationMs=5000
            bounds.recoveryS=12
            bounds.passMs=120
            bounds.reuseWindowS=10
            bounds.capFactor=2
            platform.form=objects
            platform.writesPerS=400
            platform.readsPerS=2000
            platform.historyS=20
            platform.valueBytes=1048576
            platform.ttlMinMs=1000
            """;
}
