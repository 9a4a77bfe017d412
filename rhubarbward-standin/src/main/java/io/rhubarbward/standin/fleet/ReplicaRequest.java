package io.rhubarbward.standin.fleet;

import java.time.Duration;

/**
 * A request that has reached a {@link ScriptedReplica}.
 *
 * @param attemptId the id that the caller gave it
 * @param target the path and query
 * @param expectedInstance the name of the replica that it is meant for
 * @param send how often the id has reached the replica with this send, from 1
 * @param connection the connection that it came on
 */
public record ReplicaRequest(
        String attemptId,
        String target,
        String expectedInstance,
        int send,
        ReplicaConnection connection) {
    private static final int MISDIRECTED = 421;

    /** Long enough for a router to read what was written before the reset. */
    private static final Duration UNTIL_RESET = Duration.ofMillis(50);

    /** Answers that the request did not run. */
    public void decline(ReplicaRefusal refusal) {
        connection.refuse(refusal);
    }

    /** Answers that the request was meant for another replica. */
    public void declineMisdirected() {
        decline(new ReplicaRefusal(attemptId, MISDIRECTED, "", false));
    }

    /** Runs the request and answers at once. */
    public void run(int status) {
        ReplicaRecord.Run run = connection.record().run(attemptId, target, status);
        connection.answer(run.answer());
    }

    /** Runs the request and answers later. */
    public void run(int status, Duration duration) {
        ReplicaRecord.Run run = connection.record().run(attemptId, target, status);
        connection.after(duration, () -> connection.answer(run.answer()));
    }

    /**
     * Runs the request, answers with the status line and a body without a length, and resets the
     * connection a moment later.
     */
    public void runAndReset(String statusLine, String body) {
        ReplicaRecord.Run run = connection.record().run(attemptId, target, 200);
        connection.writeAndReset(
                (statusLine + "\r\nRhubarbward-Attempt-Id: " + attemptId)
                        + ("\r\nRhubarbward-Server-Seal: " + run.seal() + "\r\n\r\n" + body),
                UNTIL_RESET);
    }
}
