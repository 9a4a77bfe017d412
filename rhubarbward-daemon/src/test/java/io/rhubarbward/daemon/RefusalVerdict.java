package io.rhubarbward.daemon;

import io.rhubarbward.standin.fleet.ReplicaRecord;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * A request's answer, compared with what the replicas ran.
 *
 * @param attemptId the id of the request
 * @param status the status that its caller got
 * @param failures what is wrong; empty if nothing is
 */
record RefusalVerdict(String attemptId, int status, Set<Failure> failures) {
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECTION = 300;

    /** What can be wrong. */
    enum Failure {
        /** The caller was told that the request did not run; it may run once only, and ran. */
        REFUSED,
        /** The same for a request that may run again, which is allowed to the fleet. */
        REFUSED_REPEATABLE,
        /** A request that may run once only ran again. */
        TWICE,
        /** The answer is not the one that a replica gave to the request. */
        MIXED
    }

    /** Compares an answer with the records of all replicas, which have ended. */
    static RefusalVerdict of(SoakCaller.Reply reply, List<ReplicaRecord> records) {
        List<ReplicaRecord.Run> runs =
                records.stream()
                        .flatMap(record -> record.runs(reply.attemptId()).stream())
                        .toList();
        Set<Failure> failures = EnumSet.noneOf(Failure.class);
        if (!runs.isEmpty() && NOT_RUN_STATUSES.contains(reply.status())) {
            failures.add(reply.mayRunAgain() ? Failure.REFUSED_REPEATABLE : Failure.REFUSED);
        }
        if (runs.size() > 1 && !reply.mayRunAgain()) {
            failures.add(Failure.TWICE);
        }
        if (mixed(reply, runs)) {
            failures.add(Failure.MIXED);
        }
        return new RefusalVerdict(reply.attemptId(), reply.status(), Set.copyOf(failures));
    }

    private static boolean mixed(SoakCaller.Reply reply, List<ReplicaRecord.Run> runs) {
        if (!reply.answeredId().isEmpty() && !reply.answeredId().equals(reply.attemptId())) {
            return true;
        }
        if (reply.seal().isEmpty()) {
            return reply.status() >= FIRST_SUCCESS && reply.status() < FIRST_REDIRECTION;
        }
        return runs.stream()
                .noneMatch(
                        run ->
                                run.seal().equals(reply.seal())
                                        && run.status() == reply.status()
                                        && run.body().equals(reply.body()));
    }
}
