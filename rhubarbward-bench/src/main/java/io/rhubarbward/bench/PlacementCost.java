package io.rhubarbward.bench;

import io.rhubarbward.catalog.ServiceProfile;
import io.rhubarbward.config.BackendServer;
import io.rhubarbward.directory.FleetLimitSplitter;
import io.rhubarbward.directory.ListedServer;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.placement.Placement;
import io.rhubarbward.placement.PlacementPolicy;
import io.rhubarbward.placement.PlacementQuery;
import io.rhubarbward.placement.SendResult;
import io.rhubarbward.placement.ServerLoad;
import io.rhubarbward.placement.ServerTable;
import io.rhubarbward.placement.TrackedServer;
import io.rhubarbward.placement.VersionChoice;
import io.rhubarbward.timer.VirtualTimerService;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Measures the processor time of one placement at 98 engines, for requests with a shared prompt
 * part and for requests without one, while the loads of all routers change.
 */
public final class PlacementCost {
    private static final int ENGINES = 98;
    private static final int SLOTS = 32;
    private static final int ROUTERS = 24;
    private static final int DATA_CENTRES = 4;
    private static final int PARTS = 500;
    private static final int SHARED_TOKENS = 6000;
    private static final int OPEN_REQUESTS = 60;
    private static final int MAX_IN_FLIGHT_ELSEWHERE = 30;
    private static final double SLOW_SHARE = 0.15;
    private static final double SLOWDOWN = 2.5;
    private static final int PLACEMENTS = 200_000;
    private static final int PLACEMENTS_PER_UPDATE = 20;
    private static final int ROUNDS = 6;
    private static final double NANOS_PER_MICRO = 1000.0;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final ServiceProfile SERVICE =
            new ServiceProfile("chat", 100, Duration.ofSeconds(3), 20, true);

    private final SplittableRandom mRandom = new SplittableRandom(1);
    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final ServerTable mTable = new ServerTable(mTimers, EventLog.none());
    private final PlacementPolicy mPolicy;
    private final boolean mSlowdownsStated;
    private final Deque<TrackedServer> mOpen = new ArrayDeque<>();

    private PlacementCost(boolean slowdownsStated) {
        mSlowdownsStated = slowdownsStated;
        Set<String> routers =
                IntStream.range(0, ROUTERS)
                        .mapToObj(index -> "front-" + index)
                        .collect(Collectors.toUnmodifiableSet());
        mPolicy =
                new PlacementPolicy(
                        "dc-0",
                        mTimers,
                        mTable,
                        new FleetLimitSplitter("front-0", () -> routers),
                        dataCentre -> false,
                        VersionChoice.ANY);
        IntStream.range(0, ENGINES).forEach(index -> mTable.onAdded(engine(index)));
    }

    private static ListedServer engine(int index) {
        String name = "i-%010x".formatted(index * 0x9e3779b9L);
        BackendServer server =
                new BackendServer(
                        name,
                        SERVICE.name(),
                        "dc-" + index % DATA_CENTRES,
                        "10.0.0.1:" + (1000 + index),
                        "v1",
                        BackendServer.Fencing.IGNORES);
        return new ListedServer(server, SLOTS, false, Duration.ZERO, 0, 1);
    }

    /** Runs the measurement; the first rounds warm up. */
    public static void main(String[] arguments) {
        new PlacementCost(false).run("no slowdown stated");
        new PlacementCost(true).run("slowdowns stated");
    }

    private void run(String name) {
        for (int round = 1; round <= ROUNDS; round++) {
            double withPart = micros(true);
            System.out.printf(
                    "%s, round %d: with a prompt part %.2f us, without %.2f us%n",
                    name, round, withPart, micros(false));
        }
    }

    private double micros(boolean withPart) {
        long nanos = 0;
        for (int done = 0; done < PLACEMENTS; done += PLACEMENTS_PER_UPDATE) {
            update();
            List<PlacementQuery> queries =
                    IntStream.range(0, PLACEMENTS_PER_UPDATE)
                            .mapToObj(index -> query(withPart))
                            .toList();
            List<Placement> placements = new ArrayList<>(PLACEMENTS_PER_UPDATE);
            long start = THREADS.getCurrentThreadCpuTime();
            queries.forEach(query -> placements.add(mPolicy.place(query, SERVICE)));
            nanos += THREADS.getCurrentThreadCpuTime() - start;
            placements.forEach(this::holdIfPlaced);
        }
        return nanos / NANOS_PER_MICRO / PLACEMENTS;
    }

    private PlacementQuery query(boolean withPart) {
        Optional<String> part =
                withPart ? Optional.of("part-" + mRandom.nextInt(PARTS)) : Optional.empty();
        return new PlacementQuery(
                SERVICE.name(), part, withPart ? SHARED_TOKENS : 0, mRandom.nextDouble(), Set.of());
    }

    private void holdIfPlaced(Placement placement) {
        if (placement instanceof Placement.Chosen chosen) {
            hold(chosen.server());
        }
    }

    private void hold(TrackedServer server) {
        mTable.recordSend(server);
        mOpen.addLast(server);
        if (mOpen.size() > OPEN_REQUESTS) {
            TrackedServer ended = mOpen.removeFirst();
            mTable.recordResult(ended, SendResult.ANSWERED, Duration.ZERO);
            boolean slow = mSlowdownsStated && mRandom.nextDouble() < SLOW_SHARE;
            mTable.recordLoad(
                    ended,
                    new ServerLoad(
                            SLOTS / 2, 0, SLOTS, slow ? SLOWDOWN : ServerLoad.USUAL_SLOWDOWN));
        }
    }

    private void update() {
        mTimers.advance(Duration.ofMillis(100));
        Map<Integer, Integer> inFlight = new HashMap<>();
        mTable.servers()
                .forEach(
                        server ->
                                inFlight.put(
                                        server.hash(), mRandom.nextInt(MAX_IN_FLIGHT_ELSEWHERE)));
        mTable.updateInFlightFromOthers(inFlight);
    }
}
