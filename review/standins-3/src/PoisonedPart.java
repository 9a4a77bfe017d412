import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A prompt part crashes each replica that begins to write an answer on it. */
abstract class PoisonedPart extends Case {
    static final int CONTACT_MILLIS = 3000;
    static final int ALLOWED_REQUESTS = 3;
    private static final int EXPLAINED_BY_CRASH = 5;
    private static final String SHARED_PART = "5c1e07a2:500";
    private static final String POISONED_PART = "91bd3f06:610";
    private static final int WORK_MILLIS = 60;

    private final List<Long> mCrashes = new ArrayList<>();
    private final List<Long> mArrivals = new ArrayList<>();
    private final AtomicBoolean mStopped = new AtomicBoolean();
    private final AtomicInteger mSound = new AtomicInteger();
    private final AtomicInteger mPoisoned = new AtomicInteger();

    private final class Engine implements Replica.Behaviour {
        @Override
        public int workMillis(HttpMessage request) {
            return WORK_MILLIS;
        }

        @Override
        public boolean crashes(HttpMessage request) {
            boolean crashes = poisoned(request);
            if (crashes) {
                synchronized (mCrashes) {
                    mCrashes.add(Record.now());
                }
            }
            return crashes;
        }

        @Override
        public void onArrival(Replica replica, HttpMessage request) {
            if (poisoned(request)) {
                synchronized (mArrivals) {
                    mArrivals.add(Record.now());
                }
            }
        }

        private static boolean poisoned(HttpMessage request) {
            return request.header("Rhubarbward-Prompt-Prefix").contains(POISONED_PART);
        }
    }

    static void addEngines(Fleet fleet, int count, Replica.Behaviour behaviour) {
        for (int i = 0; i < count; i++) {
            fleet.addReplica(
                    "llm" + i,
                    new Replica.Profile(Fleet.ENGINES, Fleet.zone(i), 64, 192, 3000, 2000),
                    behaviour);
        }
    }

    Replica.Behaviour engine() {
        return new Engine();
    }

    /** Sends sound requests, which share the caller and the first part, to each router in turn. */
    void startSoundTraffic(Fleet fleet, int perSecond) {
        Threads.start(
                "sound",
                () -> {
                    for (int i = 0; !mStopped.get(); i++) {
                        Router router = fleet.routers.get(i % fleet.routers.size());
                        Caller.Request request =
                                chat(
                                        "sound-" + mSound.incrementAndGet(),
                                        String.format("e4402b%02x:600", i % 40));
                        Threads.start("sound", () -> fleet.caller.send(router, request));
                        Threads.sleep(1000 / perSecond);
                    }
                });
    }

    void stopSoundTraffic() {
        mStopped.set(true);
    }

    /** Sends requests with the part at once, no two alike; returns the statuses. */
    List<Integer> sendPoisoned(Fleet fleet, Router router, int count) {
        List<Caller.Request> requests = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            requests.add(chat("poisoned-" + mPoisoned.incrementAndGet(), POISONED_PART));
        }
        List<Integer> statuses = fleet.caller.sendAtOnce(List.of(router), requests);
        fleet.record.add("statuses of the requests with the part: " + statuses);
        return statuses;
    }

    private static Caller.Request chat(String id, String secondPart) {
        return new Caller.Request(
                id,
                "POST",
                "/lohu930/2f",
                12_000,
                List.of(
                        "Rhubarbward-Model-Name: m",
                        "Rhubarbward-Token-Count: 1460,80",
                        "Rhubarbward-Prompt-Prefix: "
                                + SHARED_PART
                                + ","
                                + secondPart
                                + ","
                                + Integer.toHexString(id.hashCode())
                                + ":250"));
    }

    int crashes() {
        synchronized (mCrashes) {
            return mCrashes.size();
        }
    }

    /** Returns how many requests with the part came later than allowed after the fifth crash. */
    boolean judge(Fleet fleet) {
        long fifth;
        synchronized (mCrashes) {
            fifth =
                    mCrashes.size() < EXPLAINED_BY_CRASH
                            ? Long.MAX_VALUE / 2
                            : mCrashes.get(EXPLAINED_BY_CRASH - 1);
        }
        long late;
        synchronized (mArrivals) {
            late = mArrivals.stream().filter(at -> at > fifth + CONTACT_MILLIS).count();
        }
        String result =
                "crashes "
                        + crashes()
                        + ", the fifth at "
                        + fifth
                        + "; requests with the part that reached replicas over "
                        + CONTACT_MILLIS
                        + " ms later: "
                        + late
                        + ", allowed "
                        + ALLOWED_REQUESTS;
        fleet.record.add(result);
        System.out.println(result);
        return late <= ALLOWED_REQUESTS;
    }
}
