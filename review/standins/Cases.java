package review;

import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Runs one case: {@code Cases NAME REPOSITORY RECORD TROUBLE}, without trouble if that is 0. */
final class Cases {
    static final String HOST = "ficu95.example";
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;
    private static final Map<String, Case> CASES = new LinkedHashMap<>();

    private Cases() {}

    /** A case; returns whether the rule was broken. */
    @FunctionalInterface
    interface Case {
        boolean run(World world) throws IOException;
    }

    /** What a case runs in: its record, its processes and stand-ins. */
    static final class World implements AutoCloseable {
        private final Path mRoot;
        private final Path mFolder;
        private final boolean mTrouble;
        private final PrintWriter mRecord;
        private final long mStartMillis = System.currentTimeMillis();
        private final List<AutoCloseable> mParts = new ArrayList<>();
        private final Store mStore;
        private int mRouters;

        World(Path root, Path record, boolean trouble) throws IOException {
            mRoot = root;
            mTrouble = trouble;
            mFolder = Files.createTempDirectory("rhubarbward-review");
            mRecord = new PrintWriter(Files.newBufferedWriter(record));
            mStore = add(new Store("127.0.0.1"));
        }

        boolean trouble() {
            return mTrouble;
        }

        Store store() {
            return mStore;
        }

        /** Milliseconds since the case began. */
        long now() {
            return System.currentTimeMillis() - mStartMillis;
        }

        synchronized void log(String format, Object... values) {
            mRecord.printf("%7d ms  %s%n", now(), String.format(format, values));
            mRecord.flush();
        }

        synchronized <T extends AutoCloseable> T add(T part) {
            mParts.add(part);
            return part;
        }

        Router router(String name, String zone) throws IOException {
            return router(name, zone, mStore.address());
        }

        /** Creates a router that finds the store at the address. */
        Router router(String name, String zone, String store) throws IOException {
            return add(
                    new Router(
                            mRoot,
                            mFolder,
                            name,
                            zone,
                            Router.freeHost(mRouters++),
                            store,
                            bounds()));
        }

        private static Map<String, String> bounds() {
            Map<String, String> bounds = new LinkedHashMap<>();
            Stream.of(
                            "seedLagS=3 addrReuseS=2 contactMs=3000 ackMs=4000 catchUpS=4",
                            "drainMs=2000 graceS=8 lossSlackMs=200 configApplyMs=2000",
                            "rollbackSlackMs=250 maxStretchMs=5000 strictRevoke=true",
                            "revokeMs=5000 retryBudgetRatio=0.2 budgetWindowS=10",
                            "retryBudgetSlack=58 exposureShare=0.1 exposureSlack=50",
                            "rollbackMs=5000 coldExcess=1.5 coldSlack=5 evacuationMs=5000",
                            "recoveryS=12 passMs=120 reuseWindowS=10 capFactor=2")
                    .flatMap(line -> Stream.of(line.split(" ")))
                    .map(bound -> bound.split("="))
                    .forEach(bound -> bounds.put(bound[0], bound[1]));
            return bounds;
        }

        @Override
        public synchronized void close() {
            for (int i = mParts.size() - 1; i >= 0; i--) {
                try {
                    mParts.get(i).close();
                } catch (Exception e) {
                    mRecord.println("cannot end a part: " + e);
                }
            }
            mParts.clear();
            mRecord.close();
            deleteFolder();
        }

        private void deleteFolder() {
            if (System.getenv("KEEP_LOGS") != null) {
                System.err.println("logs in " + mFolder);
                return;
            }
            try (Stream<Path> files = Files.walk(mFolder)) {
                files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
            } catch (IOException | UncheckedIOException e) {
                System.err.println("cannot delete the temporary folder: " + e);
            }
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Starts a daemon thread. */
    static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    public static void main(String[] arguments) throws IOException {
        CASES.put("revoke", new RevokeLastKeys());
        CASES.put("endless", new EndlessBody());
        CASES.put("slow", new SlowReader());
        CASES.put("silent", new SilentWatch());
        CASES.put("crash", new CrashingPart());
        Path root = Path.of(arguments[1]);
        Path record = Path.of(arguments[2]);
        World world = new World(root, record, !arguments[3].equals("0"));
        world.log("trouble: %s", world.trouble());
        Runtime.getRuntime().addShutdownHook(new Thread(world::close));
        int result;
        try {
            boolean broken = CASES.get(arguments[0]).run(world);
            world.log(broken ? "the rule was broken" : "the rule held");
            result = broken ? BROKEN : HELD;
        } catch (IOException | RuntimeException e) {
            world.log("the case could not run: %s", e);
            result = NOT_RUN;
        }
        System.out.println(List.of("held", "broken", "not run").get(result));
        System.exit(result);
    }
}
