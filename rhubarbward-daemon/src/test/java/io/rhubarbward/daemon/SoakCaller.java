package io.rhubarbward.daemon;

import io.rhubarbward.standin.fleet.SampleConfig;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntSupplier;

/**
 * A caller that sends one request after the other on kept connections. Every other one may run
 * again. The HTTP client does not repeat a POST by itself.
 */
final class SoakCaller extends Thread {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    /** Pause of a refused caller; shorter than routers ask for, as that of some callers is. */
    private static final Duration PAUSE_AFTER_REFUSAL = Duration.ofMillis(50);

    private static final int SERVICE_UNAVAILABLE = 503;

    /** The status of a request whose connection ended without an answer. */
    static final int NO_ANSWER = 0;

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final int mRouterPort;
    private final IntSupplier mNextRequest;
    private final List<Reply> mReplies = new ArrayList<>();

    /** Creates a caller of the router; a request numbered 0 ends it. */
    SoakCaller(int routerPort, IntSupplier nextRequest) {
        super("soak-caller");
        mRouterPort = routerPort;
        mNextRequest = nextRequest;
    }

    /**
     * What a caller got.
     *
     * @param attemptId the id of its request
     * @param mayRunAgain whether the route allows more than one run
     * @param status the status, or {@link #NO_ANSWER}
     * @param answeredId the id in the answer; "" if it names none
     * @param seal the replica's mark; "" if there is none
     * @param body the body
     */
    record Reply(
            String attemptId,
            boolean mayRunAgain,
            int status,
            String answeredId,
            String seal,
            String body) {}

    /** Returns what the caller got; to be called when it has ended. */
    List<Reply> replies() {
        return mReplies;
    }

    @Override
    public void run() {
        for (int request = mNextRequest.getAsInt();
                request != 0;
                request = mNextRequest.getAsInt()) {
            Reply reply = send("r-" + request, request % 2 == 0);
            mReplies.add(reply);
            if (reply.status() == SERVICE_UNAVAILABLE) {
                LockSupport.parkNanos(PAUSE_AFTER_REFUSAL.toNanos());
            }
        }
    }

    private Reply send(String id, boolean mayRunAgain) {
        String path = (mayRunAgain ? "/repeat/" : "/plain/") + id;
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + mRouterPort + path))
                        .POST(HttpRequest.BodyPublishers.noBody())
                        .header("Rhubarbward-Attempt-Id", id)
                        .header("Rhubarbward-Deadline-Remaining", "4000")
                        .header("Authorization", "Bearer " + SampleConfig.API_KEY)
                        .timeout(TIMEOUT)
                        .build();
        try {
            HttpResponse<String> response =
                    mClient.send(request, HttpResponse.BodyHandlers.ofString());
            return new Reply(
                    id,
                    mayRunAgain,
                    response.statusCode(),
                    response.headers().firstValue("Rhubarbward-Attempt-Id").orElse(""),
                    response.headers().firstValue("Rhubarbward-Server-Seal").orElse(""),
                    response.body());
        } catch (IOException e) {
            return new Reply(id, mayRunAgain, NO_ANSWER, "", "", "");
        } catch (InterruptedException e) {
            throw new IllegalStateException("nothing interrupts a caller", e);
        }
    }
}
