package io.rhubarbward.standin.fleet;

import io.rhubarbward.hash.RendezvousHash;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A replica that often declines requests, and answers too often: with copies of the refusals that a
 * connection carried.
 *
 * <p>Requests to a former name are answered with 421. Of the others some are declined with 503, 429
 * or 421, and the rest runs, with status 200 or 500. Copies come at once when a request arrives,
 * preferably of its own earlier refusal, or later, whatever is open then. Some are cut, or
 * continued after the next answer.
 *
 * <p>What happens to a request depends on the seed, its id and its send, and not on the time.
 */
public final class RefusalFaults implements ScriptedReplica.Behaviour {
    private static final double DECLINED_PART = 0.3;
    private static final double MISDIRECTED_PART = 0.02;
    private static final double RETRY_AFTER_PART = 0.02;
    private static final double FAILED_PART = 0.05;
    private static final double COPIED_WHEN_SENT_AGAIN_PART = 0.8;
    private static final double COPIED_AT_ONCE_PART = 0.1;
    private static final double COPIED_LATER_PART = 0.15;
    private static final double WHOLE_COPY_PART = 0.8;
    private static final double SPLIT_COPY_PART = 0.08;
    private static final int MAX_RUN_MILLIS = 20;
    private static final int MAX_COPY_DELAY_MILLIS = 80;
    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;
    private static final int MISDIRECTED = 421;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final long mSeed;
    private volatile String mName;

    /** Creates the behaviour of a replica that has the name. */
    public RefusalFaults(long seed, String name) {
        mSeed = seed;
        mName = name;
    }

    /** Changes the replica's name, as a restart at the same address does. */
    public void rename(String name) {
        mName = name;
    }

    @Override
    public void serve(ReplicaRequest request) {
        SplittableRandom random =
                new SplittableRandom(
                        mSeed ^ RendezvousHash.hash(request.attemptId() + '/' + request.send()));
        ReplicaConnection connection = request.connection();
        copyAtOnce(request, random);
        if (!request.expectedInstance().equals(mName)) {
            request.declineMisdirected();
        } else if (random.nextDouble() < DECLINED_PART) {
            request.decline(refusal(request, random));
        } else {
            request.run(
                    random.nextDouble() < FAILED_PART ? SERVER_ERROR : OK,
                    Duration.ofMillis(random.nextInt(MAX_RUN_MILLIS)));
        }
        if (random.nextDouble() < COPIED_LATER_PART) {
            connection.after(
                    Duration.ofMillis(random.nextInt(MAX_COPY_DELAY_MILLIS)),
                    () -> copyAny(connection, random));
        }
    }

    private static ReplicaRefusal refusal(ReplicaRequest request, SplittableRandom random) {
        int busy = random.nextBoolean() ? SERVICE_UNAVAILABLE : TOO_MANY_REQUESTS;
        int status = random.nextDouble() < MISDIRECTED_PART ? MISDIRECTED : busy;
        boolean rests = random.nextDouble() < RETRY_AFTER_PART;
        return new ReplicaRefusal(
                request.attemptId(), status, rests ? "0.1" : "", random.nextBoolean());
    }

    private static void copyAtOnce(ReplicaRequest request, SplittableRandom random) {
        ReplicaConnection connection = request.connection();
        List<ReplicaRefusal> own =
                connection.refusals().stream()
                        .filter(past -> past.attemptId().equals(request.attemptId()))
                        .toList();
        if (!own.isEmpty() && random.nextDouble() < COPIED_WHEN_SENT_AGAIN_PART) {
            copy(connection, own.get(0), random);
        } else if (random.nextDouble() < COPIED_AT_ONCE_PART) {
            copyAny(connection, random);
        }
    }

    private static void copyAny(ReplicaConnection connection, SplittableRandom random) {
        List<ReplicaRefusal> past = connection.refusals();
        if (!past.isEmpty()) {
            copy(connection, past.get(random.nextInt(past.size())), random);
        }
    }

    private static void copy(
            ReplicaConnection connection, ReplicaRefusal refusal, SplittableRandom random) {
        List<String> forms = List.of(refusal.whole(), refusal.chunked(), refusal.withoutBody());
        String bytes = forms.get(random.nextInt(forms.size()));
        double manner = random.nextDouble();
        if (manner < WHOLE_COPY_PART) {
            connection.writeCopy(bytes, "", false);
            return;
        }
        int cut = 1 + random.nextInt(bytes.length() - 1);
        boolean continued = manner < WHOLE_COPY_PART + SPLIT_COPY_PART;
        connection.writeCopy(bytes.substring(0, cut), continued ? bytes.substring(cut) : "", true);
    }
}
