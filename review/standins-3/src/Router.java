import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One of the project's processes, started with the run command of the deploy file. */
final class Router {
    private static final List<String> ENVIRONMENT = List.of("PATH", "HOME", "JAVA_HOME", "LANG");
    private static final int INTERNAL_PORTS = 16;

    private final String mName;
    private final String mIp;
    private final int mFrontPort;
    private final int mReadyPort;
    private final Path mSettings;
    private final Path mLog;
    private final Path mRoot;
    private Process mProcess;

    /** Creates a router that is not started; each has a loopback address of its own. */
    Router(String name, String zone, String ip, Path root, Path folder, String storeAddress) {
        mName = name;
        mIp = ip;
        mRoot = root;
        mFrontPort = freePort(ip);
        mReadyPort = freePort(ip);
        mSettings = folder.resolve(name + ".conf");
        mLog = folder.resolve(name + ".log");
        try {
            Files.write(mSettings, settings(zone, storeAddress));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static int freePort(String ip) {
        try (ServerSocket probe = new ServerSocket()) {
            probe.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
            return probe.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private List<String> settings(String zone, String storeAddress) {
        int internal = freePort(mIp);
        int first = Math.min(internal, 65_535 - INTERNAL_PORTS);
        return List.of(
                "node=" + mName,
                "role=router",
                "machineClass=front",
                "serves=front",
                "ip=" + mIp,
                "zone=" + zone,
                "region=lima",
                "zones.lima-norte=lima",
                "zones.lima-centro=lima",
                "zones.lima-sur=lima",
                "listen.front=" + mIp + ":" + mFrontPort,
                "listen.ready=" + mIp + ":" + mReadyPort,
                "internalPorts=" + first + "," + (first + INTERNAL_PORTS - 1),
                "seeds=",
                "bootstrap=true",
                "inFaultBudget=false",
                "limits.cpuShare=0.75",
                "limits.cores=1",
                "limits.memoryMb=430",
                "limits.maxFds=4100",
                "limits.linkMbps=1000.0",
                "limits.diskMb=0",
                "discovery=platform",
                "entry=vip",
                "heartbeatMs=1200",
                "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,"
                        + "rollout,platform",
                "faultTolerance.machines=1",
                "faultTolerance.zones=1",
                "faultTolerance.regions=0",
                "bounds.seedLagS=3",
                "bounds.addrReuseS=2",
                "bounds.contactMs=3000",
                "bounds.ackMs=4000",
                "bounds.catchUpS=4",
                "bounds.drainMs=2000",
                "bounds.graceS=8",
                "bounds.lossSlackMs=200",
                "bounds.configApplyMs=2000",
                "bounds.rollbackSlackMs=250",
                "bounds.maxStretchMs=5000",
                "bounds.strictRevoke=true",
                "bounds.revokeMs=5000",
                "bounds.retryBudgetRatio=0.2",
                "bounds.budgetWindowS=10",
                "bounds.retryBudgetSlack=58",
                "bounds.exposureShare=0.1",
                "bounds.exposureSlack=50",
                "bounds.rollbackMs=5000",
                "bounds.coldExcess=1.5",
                "bounds.coldSlack=5",
                "bounds.evacuationMs=5000",
                "bounds.recoveryS=12",
                "bounds.passMs=120",
                "bounds.reuseWindowS=10",
                "bounds.capFactor=2",
                "platform.address=" + storeAddress,
                "platform.form=objects",
                "platform.writesPerS=400",
                "platform.readsPerS=2000",
                "platform.historyS=20",
                "platform.valueBytes=1048576",
                "platform.ttlMinMs=1000");
    }

    String name() {
        return mName;
    }

    InetSocketAddress front() {
        return new InetSocketAddress(mIp, mFrontPort);
    }

    void start() {
        try {
            ProcessBuilder builder = new ProcessBuilder(runCommand());
            builder.directory(mRoot.toFile());
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(ENVIRONMENT);
            environment.put("RHUBARBWARD_NODE_FILE", mSettings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()));
            mProcess = builder.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private List<String> runCommand() throws IOException {
        Matcher run =
                Pattern.compile("(?m)^run = \"(.*)\"$")
                        .matcher(Files.readString(mRoot.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml: expected a run command");
        }
        return new ArrayList<>(List.of(run.group(1).split(" ")));
    }

    /** Returns whether the process runs. */
    boolean alive() {
        return mProcess != null && mProcess.isAlive();
    }

    /** Returns the last line that the process wrote. */
    String lastLogLine() {
        try {
            List<String> lines = Files.readAllLines(mLog);
            return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends SIGKILL and waits for the end of the process. */
    void kill() {
        if (mProcess == null) {
            return;
        }
        mProcess.destroyForcibly();
        try {
            mProcess.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns whether the router tells the balancer that it is ready. */
    boolean ready() {
        try {
            HttpURLConnection check =
                    (HttpURLConnection)
                            URI.create("http://" + mIp + ":" + mReadyPort + "/api/readiness")
                                    .toURL()
                                    .openConnection();
            check.setConnectTimeout(500);
            check.setReadTimeout(500);
            return check.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }
}
