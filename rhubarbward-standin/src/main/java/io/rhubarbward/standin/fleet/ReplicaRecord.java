package io.rhubarbward.standin.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What a {@link ScriptedReplica} got and did; may be read on any thread. */
public final class ReplicaRecord {
    private final Map<String, Integer> mSendsById = new HashMap<>();
    private final Map<String, List<Run>> mRunsById = new HashMap<>();
    private Counts mCounts = Counts.NONE;

    /**
     * A run of a request.
     *
     * @param attemptId the id of the request
     * @param status the status of its answer
     * @param seal the value that marks the answer
     * @param body the body of the answer
     */
    public record Run(String attemptId, int status, String seal, String body) {
        String answer() {
            return "HTTP/1.1 "
                    + status
                    + " Answer\r\nRhubarbward-Attempt-Id: "
                    + attemptId
                    + "\r\nRhubarbward-Server-Seal: "
                    + seal
                    + "\r\nContent-Length: "
                    + body.length()
                    + "\r\n\r\n"
                    + body;
        }
    }

    /**
     * How much a replica got and did.
     *
     * @param sends requests that reached it
     * @param refusals requests that it declined
     * @param copies copies of refusals that it wrote
     * @param cutCopies those of the copies that were not written as a whole message
     * @param sentAgain requests that had reached it before
     * @param sentAgainOnConnection those of them on a connection that had carried their refusal
     */
    public record Counts(
            long sends,
            long refusals,
            long copies,
            long cutCopies,
            long sentAgain,
            long sentAgainOnConnection) {
        /** Those of a replica that got nothing. */
        public static final Counts NONE = new Counts(0, 0, 0, 0, 0, 0);

        /** Returns the sum. */
        public Counts plus(Counts other) {
            return new Counts(
                    sends + other.sends,
                    refusals + other.refusals,
                    copies + other.copies,
                    cutCopies + other.cutCopies,
                    sentAgain + other.sentAgain,
                    sentAgainOnConnection + other.sentAgainOnConnection);
        }
    }

    /** Returns the runs of the request, oldest first. */
    public synchronized List<Run> runs(String attemptId) {
        return List.copyOf(mRunsById.getOrDefault(attemptId, List.of()));
    }

    /** Returns how often the request reached the replica. */
    public synchronized int sends(String attemptId) {
        return mSendsById.getOrDefault(attemptId, 0);
    }

    /** Returns the counts so far. */
    public synchronized Counts counts() {
        return mCounts;
    }

    synchronized int countSend(String attemptId, boolean refusedOnConnection) {
        int send = mSendsById.merge(attemptId, 1, Integer::sum);
        mCounts =
                mCounts.plus(new Counts(1, 0, 0, 0, send > 1 ? 1 : 0, refusedOnConnection ? 1 : 0));
        return send;
    }

    synchronized void countRefusal() {
        mCounts = mCounts.plus(new Counts(0, 1, 0, 0, 0, 0));
    }

    synchronized void countCopy(boolean cut) {
        mCounts = mCounts.plus(new Counts(0, 0, 1, cut ? 1 : 0, 0, 0));
    }

    synchronized Run run(String attemptId, String target, int status) {
        List<Run> runs = mRunsById.computeIfAbsent(attemptId, ignored -> new ArrayList<>());
        String body = "run " + (runs.size() + 1) + " of " + attemptId + " for " + target;
        Run run = new Run(attemptId, status, "seal-" + attemptId + '-' + status, body);
        runs.add(run);
        return run;
    }
}
