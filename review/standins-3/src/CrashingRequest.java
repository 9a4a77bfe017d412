import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/** A request crashes each replica that begins to run it, and its client repeats it at once. */
final class CrashingRequest extends Case {
    private static final int ROUTERS = 3;
    private static final int REPLICAS = 4;
    private static final int CONTACT_MILLIS = 3000;
    private static final int EXPLAINED_BY_CRASH = 3;
    private static final int ALLOWED_RETRIES = 3;
    private static final int WORK_MILLIS = 86;
    private static final int BACK_MILLIS = 3000;
    private static final int PERIOD_MILLIS = 8000;
    private static final int TIMES = 5;

    /** The request and three repeats. */
    private static final int AT_ONCE = 4;

    private static final String CRASHING = "/cufi504/fi50/2f?bin=81";

    private final int mEngines;
    private final List<Long> mCrashes = new ArrayList<>();
    private final List<Long> mArrivals = new ArrayList<>();
    private final AtomicBoolean mStopped = new AtomicBoolean();

    /**
     * Creates the case.
     *
     * @param engines replicas of another service, which no request goes to; 0 if there is none
     */
    private CrashingRequest(int engines) {
        mEngines = engines;
    }

    private final class Plain implements Replica.Behaviour {
        private boolean crashing(HttpMessage request) {
            return trouble() && request.target().equals(CRASHING);
        }

        @Override
        public int workMillis(HttpMessage request) {
            return crashing(request) ? 1 : WORK_MILLIS;
        }

        @Override
        public void onArrival(Replica replica, HttpMessage request) {
            if (crashing(request)) {
                synchronized (mArrivals) {
                    mArrivals.add(Record.now());
                }
            }
        }

        @Override
        public boolean crashes(HttpMessage request) {
            if (crashing(request)) {
                synchronized (mCrashes) {
                    mCrashes.add(Record.now());
                }
            }
            return crashing(request);
        }
    }

    @Override
    boolean run(Fleet fleet) {
        for (int i = 0; i < REPLICAS; i++) {
            fleet.addReplica(
                    "app" + i,
                    new Replica.Profile(Fleet.PLAIN, Fleet.zone(i), 6, 24, 0, BACK_MILLIS),
                    new Plain());
        }
        if (mEngines == 0) {
            fleet.withoutEngines();
        }
        for (int i = 0; i < mEngines; i++) {
            fleet.addReplica(
                    "llm" + i,
                    new Replica.Profile(Fleet.ENGINES, Fleet.zone(i), 64, 192, 3000, 2000),
                    request -> WORK_MILLIS);
        }
        fleet.startRouters(ROUTERS);
        startSoundTraffic(fleet);
        Threads.sleep(CONTACT_MILLIS + 2000);
        for (int i = 0; i < TIMES; i++) {
            long next = Record.now() + PERIOD_MILLIS;
            List<Caller.Request> repeats = new ArrayList<>();
            for (int repeat = 0; repeat < AT_ONCE; repeat++) {
                repeats.add(request("crashing-" + i + "-" + repeat, CRASHING));
            }
            fleet.caller.sendAtOnce(List.of(fleet.routers.get(i % ROUTERS)), repeats);
            Threads.sleepUntil(next);
        }
        mStopped.set(true);
        return judge(fleet);
    }

    private void startSoundTraffic(Fleet fleet) {
        Threads.start(
                "sound",
                () -> {
                    for (int i = 0; !mStopped.get(); i++) {
                        Router router = fleet.routers.get(i % ROUTERS);
                        Caller.Request request =
                                request("sound-" + i, "/cufi504/fi50/2f?bin=x" + i);
                        Threads.start("sound", () -> fleet.caller.send(router, request));
                        Threads.sleep(50);
                    }
                });
    }

    private static Caller.Request request(String id, String target) {
        return new Caller.Request(id, "GET", target, 4000, List.of());
    }

    private boolean judge(Fleet fleet) {
        long explained =
                mCrashes.size() < EXPLAINED_BY_CRASH
                        ? Long.MAX_VALUE / 2
                        : mCrashes.get(EXPLAINED_BY_CRASH - 1);
        long late = mArrivals.stream().filter(at -> at > explained + CONTACT_MILLIS).count();
        String result =
                "crashes "
                        + mCrashes.size()
                        + ", the third at "
                        + explained
                        + "; retries that reached replicas over "
                        + CONTACT_MILLIS
                        + " ms later: "
                        + late
                        + ", allowed "
                        + ALLOWED_RETRIES;
        fleet.record.add(result);
        System.out.println(result);
        return late <= ALLOWED_RETRIES;
    }

    public static void main(String[] arguments) {
        main(new CrashingRequest(Integer.parseInt(arguments[2])), arguments);
    }
}
