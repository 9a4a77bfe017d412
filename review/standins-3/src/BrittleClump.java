import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Replicas say that they are brittle; then usual traffic comes in clumps. */
final class BrittleClump extends Case {
    private static final int ROUTERS = 6;
    private static final int REPLICAS = 3;
    private static final int CONTACT_MILLIS = 3000;
    private static final int DECLINES_A_SECOND = 3;
    private static final int QUEUE_WHILE_BRITTLE = 2;
    private static final int WORK_MILLIS = 86;
    private static final int CLUMPS = 10;
    private static final int CLUMP_REQUESTS = 72;
    private static final int CLUMP_PERIOD_MILLIS = 2000;

    private final AtomicInteger mFalls = new AtomicInteger();
    private volatile long mBrittleFromMillis = Long.MAX_VALUE / 2;

    private final class Brittle implements Replica.Behaviour {
        private final Deque<Long> mDeclines = new ArrayDeque<>();

        @Override
        public int workMillis(HttpMessage request) {
            return WORK_MILLIS;
        }

        private boolean brittle(long sinceMillis) {
            return Record.now() >= mBrittleFromMillis + sinceMillis;
        }

        @Override
        public int queue(Replica.Profile profile) {
            return brittle(CONTACT_MILLIS) ? QUEUE_WHILE_BRITTLE : profile.queue();
        }

        @Override
        public List<String> statements() {
            return brittle(0) ? List.of("Server-Brittle: " + DECLINES_A_SECOND) : List.of();
        }

        @Override
        public synchronized boolean fallsOverAfterDecline(Replica replica) {
            long now = Record.now();
            mDeclines.addLast(now);
            mDeclines.removeIf(declined -> declined <= now - 1000);
            boolean falls = brittle(CONTACT_MILLIS) && mDeclines.size() > DECLINES_A_SECOND;
            if (falls) {
                mDeclines.clear();
                mFalls.incrementAndGet();
            }
            return falls;
        }
    }

    @Override
    boolean run(Fleet fleet) {
        for (int i = 0; i < REPLICAS; i++) {
            fleet.addReplica(
                    "app" + i,
                    new Replica.Profile(Fleet.PLAIN, Fleet.zone(i), 6, 24, 0, 3000),
                    new Brittle());
        }
        fleet.startRouters(ROUTERS);
        calm(fleet, "a", CONTACT_MILLIS + 500);
        if (trouble()) {
            mBrittleFromMillis = Record.now();
            fleet.record.add("the replicas are brittle from now on");
        }
        calm(fleet, "b", CONTACT_MILLIS + 2000);
        for (int clump = 0; clump < CLUMPS; clump++) {
            long next = Record.now() + CLUMP_PERIOD_MILLIS;
            List<Caller.Request> requests = new ArrayList<>();
            for (int i = 0; i < CLUMP_REQUESTS; i++) {
                requests.add(request("clump" + clump + "-" + i));
            }
            fleet.caller.sendAtOnce(fleet.routers, requests);
            Threads.sleepUntil(next);
        }
        double allowed = 2 + REPLICAS / 10.0;
        fleet.record.add("falls " + mFalls + ", allowed " + allowed);
        System.out.println("falls " + mFalls + ", allowed " + allowed);
        return mFalls.get() <= allowed;
    }

    /** Sends ten requests a second, to each router in turn. */
    private static void calm(Fleet fleet, String name, long millis) {
        long until = Record.now() + millis;
        for (int i = 0; Record.now() < until; i++) {
            Router router = fleet.routers.get(i % fleet.routers.size());
            Caller.Request request = request("calm-" + name + "-" + i);
            Threads.start("calm", () -> fleet.caller.send(router, request));
            Threads.sleep(100);
        }
    }

    private static Caller.Request request(String id) {
        return new Caller.Request(id, "POST", "/puxa403/2f", 4000, List.of());
    }

    public static void main(String[] arguments) {
        main(new BrittleClump(), arguments);
    }
}
