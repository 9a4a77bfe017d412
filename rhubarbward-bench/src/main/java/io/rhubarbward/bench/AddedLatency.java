package io.rhubarbward.bench;

import io.rhubarbward.daemon.Demo;
import io.rhubarbward.daemon.DemoPorts;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.net.backend.HttpClients;
import io.rhubarbward.standin.EngineProfile;
import java.io.IOException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.asynchttpclient.AsyncHttpClient;

/**
 * Measures what a router adds to an engine's answer: the same whole chat asked of the engine
 * directly and through the router, in turns, in one run on loopback.
 *
 * <p>Prints the latency at p50 and p99, in microseconds, for each.
 */
public final class AddedLatency {
    private static final int WARM_UP_REQUESTS = 20_000;
    private static final int REQUESTS = 20_000;
    private static final int CONCURRENT = 8;
    private static final int ROUNDS = 3;
    private static final long HIGHEST_MICROS = 60_000_000;
    private static final int DIGITS = 3;
    private static final double MEDIAN = 50.0;
    private static final double TAIL = 99.0;
    private static final String BODY = "{\"model\":\"assistant-1\",\"chat_id\":\"c\"}";

    private AddedLatency() {}

    /** Runs the measurement. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        EngineProfile instant = new EngineProfile(0, 0, 0, 1, 1000, 0, false);
        try (Demo demo = Demo.start(DemoPorts.FREE, 1, EventLog.none());
                AsyncHttpClient client = HttpClients.open("load")) {
            demo.engines().forEach(engine -> engine.profile(instant));
            String path = "/v1/chat/completions";
            String direct = "http://" + demo.engines().get(0).address() + path;
            String routed = "http://127.0.0.1:" + demo.routers().get(0).callersPort() + path;
            run(client, direct, WARM_UP_REQUESTS);
            run(client, routed, WARM_UP_REQUESTS);
            for (int round = 1; round <= ROUNDS; round++) {
                print(round, "direct", run(client, direct, REQUESTS));
                print(round, "routed", run(client, routed, REQUESTS));
            }
        }
    }

    private static Result run(AsyncHttpClient client, String url, int requests)
            throws InterruptedException {
        Histogram micros = new ConcurrentHistogram(HIGHEST_MICROS, DIGITS);
        AtomicInteger refused = new AtomicInteger();
        Semaphore slots = new Semaphore(CONCURRENT);
        for (int sent = 0; sent < requests; sent++) {
            slots.acquire();
            long start = System.nanoTime();
            client.preparePost(url)
                    .addHeader("Authorization", "Bearer " + Demo.KEY)
                    .setBody(BODY)
                    .execute()
                    .toCompletableFuture()
                    .whenComplete(
                            (response, error) -> {
                                micros.recordValue((System.nanoTime() - start) / 1000);
                                if (response == null || response.getStatusCode() != 200) {
                                    refused.incrementAndGet();
                                }
                                slots.release();
                            });
        }
        slots.acquire(CONCURRENT);
        return new Result(micros, refused.get());
    }

    private static void print(int round, String how, Result result) {
        System.out.printf(
                "round %d %s: p50 %d us, p99 %d us, refused %d of %d%n",
                round,
                how,
                result.micros().getValueAtPercentile(MEDIAN),
                result.micros().getValueAtPercentile(TAIL),
                result.refused(),
                REQUESTS);
    }

    /** The latencies of a run, and how many requests were not answered well. */
    private record Result(Histogram micros, int refused) {}
}
