package io.rhubarbward.daemon;

import io.rhubarbward.event.EventLog;
import io.rhubarbward.standin.fleet.RefusalFaults;
import io.rhubarbward.standin.fleet.ReplicaRecord;
import io.rhubarbward.standin.fleet.ScriptedReplica;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Routers in front of replicas that decline and answer too often, with callers on kept connections.
 *
 * <pre>{@code
 * RefusalSoak.Result result = RefusalSoak.run(new RefusalSoak.Plan(7, 2000), EventLog.none());
 * }</pre>
 *
 * <p>Each replica gets a new name from time to time, and stays listed under its two former ones.
 */
final class RefusalSoak {
    private static final int ROUTERS = 2;
    private static final int REPLICAS = 4;
    private static final int CALLERS = 16;
    private static final int NAMES_PER_REPLICA = 3;
    private static final int REQUESTS_PER_NAME = 10;

    private final Plan mPlan;
    private final AtomicInteger mBegun = new AtomicInteger();
    private final List<Member> mMembers = new ArrayList<>();
    private int mNames;

    private RefusalSoak(Plan plan) {
        mPlan = plan;
    }

    /**
     * What a run does.
     *
     * @param seed decides the faults
     * @param requests how many requests callers send
     */
    record Plan(long seed, int requests) {}

    /**
     * What a run showed.
     *
     * @param counts what the replicas got and did, in sum
     * @param verdicts of all requests
     */
    record Result(ReplicaRecord.Counts counts, List<RefusalVerdict> verdicts) {
        /** Returns the ids of the requests with a failure. */
        List<String> ids(RefusalVerdict.Failure failure) {
            return verdicts.stream()
                    .filter(verdict -> verdict.failures().contains(failure))
                    .map(RefusalVerdict::attemptId)
                    .toList();
        }

        long withStatus(int status) {
            return verdicts.stream().filter(verdict -> verdict.status() == status).count();
        }

        @Override
        public String toString() {
            Map<Integer, Long> byStatus =
                    verdicts.stream()
                            .collect(
                                    Collectors.groupingBy(
                                            RefusalVerdict::status,
                                            TreeMap::new,
                                            Collectors.counting()));
            Map<RefusalVerdict.Failure, List<String>> byFailure =
                    Stream.of(RefusalVerdict.Failure.values())
                            .collect(Collectors.toMap(failure -> failure, this::ids));
            return verdicts.size() + " requests " + byStatus + ", " + counts + ", " + byFailure;
        }
    }

    /** A replica with its behaviour and its names, oldest first. */
    private record Member(ScriptedReplica replica, RefusalFaults faults, List<String> names) {}

    /** Runs the plan and compares what callers were told with what ran. */
    static Result run(Plan plan, EventLog events) throws IOException, InterruptedException {
        return new RefusalSoak(plan).run(events);
    }

    private Result run(EventLog events) throws IOException, InterruptedException {
        List<SoakCaller.Reply> replies = new ArrayList<>();
        try (ScriptedFleet fleet = new ScriptedFleet()) {
            IntStream.range(0, REPLICAS).forEach(replica -> mMembers.add(startMember(fleet)));
            IntStream.rangeClosed(1, NAMES_PER_REPLICA * REPLICAS)
                    .forEach(turn -> rename(fleet, turn));
            List<FleetRouterDaemon> routers = new ArrayList<>();
            for (int router = 0; router < ROUTERS; router++) {
                routers.add(fleet.startRouter(events));
            }
            List<SoakCaller> callers =
                    IntStream.range(0, CALLERS)
                            .mapToObj(
                                    caller ->
                                            new SoakCaller(
                                                    routers.get(caller % ROUTERS).callersPort(),
                                                    () -> nextRequest(fleet)))
                            .toList();
            callers.forEach(Thread::start);
            for (SoakCaller caller : callers) {
                caller.join();
                replies.addAll(caller.replies());
            }
        }
        List<ReplicaRecord> records =
                mMembers.stream().map(member -> member.replica().record()).toList();
        return new Result(
                records.stream()
                        .map(ReplicaRecord::counts)
                        .reduce(ReplicaRecord.Counts.NONE, ReplicaRecord.Counts::plus),
                replies.stream().map(reply -> RefusalVerdict.of(reply, records)).toList());
    }

    /** Returns the number of the next request; 0 if all have begun. */
    private int nextRequest(ScriptedFleet fleet) {
        int request = mBegun.incrementAndGet();
        if (request > mPlan.requests()) {
            return 0;
        }
        if (request % REQUESTS_PER_NAME == 0) {
            rename(fleet, request / REQUESTS_PER_NAME);
        }
        return request;
    }

    private Member startMember(ScriptedFleet fleet) {
        RefusalFaults faults = new RefusalFaults(mPlan.seed() + mMembers.size(), "");
        return new Member(fleet.startReplica(faults), faults, new ArrayList<>());
    }

    /**
     * Gives a replica a new name. Routers try idle plain servers in the order of their names, so
     * that a refused request is often sent to another name of the same replica.
     */
    private synchronized void rename(ScriptedFleet fleet, int turn) {
        int replica = turn % REPLICAS;
        Member member = mMembers.get(replica);
        String name = "i-%d-%08d".formatted(replica, ++mNames);
        member.names().add(name);
        member.faults().rename(name);
        fleet.list(member.replica(), name);
        if (member.names().size() > NAMES_PER_REPLICA) {
            fleet.store().delete("servers", member.names().remove(0));
        }
    }
}
