package io.rhubarbward.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.standin.fleet.SampleConfig;
import io.rhubarbward.standin.fleet.ScriptedReplica;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.net.URL;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A fleet router over sockets, with stand-ins for the platform. */
@Timeout(60)
final class FleetRouterDaemonTest {
    @Test
    void servesPlainRequestsAndCompleteStreams() throws IOException {
        try (LocalFleet fleet = LocalFleet.start(EventLog.none())) {
            fleet.awaitReady();
            assertThat(fleet.send("POST", "/plain/7?a=%20b&c", "r-1").body())
                    .isEqualTo("i-orders ran /plain/7?a=%20b&c");
            assertThat(fleet.send("POST", "/stream/7", "r-2").body())
                    .isEqualTo(
                            "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"
                                    + "id: 4\ndata: 4\n\nid: 5\ndata: 5\n\n");
            assertThat(fleet.send("GET", "/nowhere/", "r-3").status()).isEqualTo(404);
        }
    }

    @Test
    void theServerGetsTheCallersTargetAndNoHeadersThatTheHttpClientAdds() throws IOException {
        try (LocalFleet fleet = LocalFleet.start(EventLog.none())) {
            fleet.awaitReady();
            fleet.send("POST", "/plain/%7Euser/../x?q=", "r-1");
            CallerRequest run = fleet.ordersReplica().handledRequests().get(0);
            assertThat(run.target()).isEqualTo("/plain/%7Euser/../x?q=");
            assertThat(run.headers().first("authorization")).isEmpty();
            assertThat(run.headers().first("rhubarbward-tenant-name")).hasValue("acme");
            assertThat(run.headers().first("user-agent").orElse("")).doesNotContain("AHC");
        }
    }

    @Test
    void aServerThatIsNoLongerListedGetsNoRequests() throws IOException {
        try (LocalFleet fleet = LocalFleet.start(EventLog.none())) {
            fleet.awaitReady();
            fleet.send("POST", "/plain/1", "r-1");
            fleet.store().delete("servers", "i-orders");
            int status = 0;
            for (int request = 2; status != 503; request++) {
                status = fleet.send("POST", "/plain/" + request, "r-" + request).status();
            }
            int runs = fleet.ordersReplica().handledRequests().size();
            assertThat(fleet.send("POST", "/plain/x", "r-x").status()).isEqualTo(503);
            assertThat(fleet.ordersReplica().handledRequests()).hasSize(runs);
        }
    }

    /** The event loop may answer a readiness check before it runs the task that begins the stop. */
    @Test
    void aStoppingRouterIsNotReadyEvenWhileTheEventLoopIsBusy() throws Exception {
        CountDownLatch loopBlocked = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        EventLog events = new BlockingEventLog(LogEvent.REQUEST_REFUSED, loopBlocked, released);
        try (LocalFleet fleet = LocalFleet.start(events)) {
            fleet.awaitReady();
            CompletableFuture<Void> caller =
                    CompletableFuture.runAsync(() -> sendRefusedRequest(fleet));
            loopBlocked.await();
            CompletableFuture<Integer> stopped = fleet.router().stop();
            boolean ready = fleet.router().ready();
            released.countDown();
            caller.get();
            assertThat(ready).isFalse();
            assertThat(stopped.get()).isEqualTo(0);
        }
    }

    private static void sendRefusedRequest(LocalFleet fleet) {
        try {
            fleet.send("GET", "/nowhere/", "r-1");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Blocks each thread that logs a given event until the test releases it.
     *
     * @param blockedEvent the event
     * @param reached counted down when the event is logged
     * @param released unblocks the thread at zero
     */
    private record BlockingEventLog(
            LogEvent blockedEvent, CountDownLatch reached, CountDownLatch released)
            implements EventLog {
        @Override
        public void log(LogEvent event, EventField... fields) {
            if (event == blockedEvent) {
                reached.countDown();
                try {
                    released.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }

        @Override
        public void log(LogEvent event, Throwable cause, EventField... fields) {
            log(event, fields);
        }
    }

    @Test
    void aStoppingRouterIsNotReadyButServesRequestsAndThenStops() throws Exception {
        try (LocalFleet fleet = LocalFleet.start(EventLog.none())) {
            fleet.awaitReady();
            CompletableFuture<Integer> stopped = fleet.router().stop();
            assertThat(fleet.ready()).isFalse();
            assertThat(fleet.send("POST", "/plain/1", "r-1").status()).isEqualTo(200);
            assertThat(stopped.get()).isEqualTo(0);
        }
    }

    /** Guards against callers on kept connections that are cut as if they read nothing. */
    @Test
    void noConnectionOfACallerWithinTheLimitsIsClosed() throws Exception {
        int idleMillis = 400;
        int requests = 4;
        AtomicInteger begun = new AtomicInteger();
        ClosedConnectionLog closed = new ClosedConnectionLog();
        try (ScriptedFleet fleet = new ScriptedFleet()) {
            SampleConfig.writeTo(fleet.store(), idleMillis);
            ScriptedReplica replica =
                    fleet.startReplica(
                            request -> request.run(200, Duration.ofMillis(2 * idleMillis)));
            fleet.list(replica, "i-1");
            FleetRouterDaemon router = fleet.startRouter(closed);
            SoakCaller caller =
                    new SoakCaller(
                            router.callersPort(),
                            () -> begun.get() < requests ? begun.incrementAndGet() : 0);
            caller.start();
            caller.join();
            assertThat(caller.replies().stream().map(SoakCaller.Reply::status).toList())
                    .containsExactly(200, 200, 200, 200);
            assertThat(closed.fields()).isEmpty();
        }
    }

    private static HttpURLConnection forward(LocalFleet fleet, int fillerBytes) throws IOException {
        URL url =
                URI.create("http://127.0.0.1:" + fleet.router().forwardingPort() + "/plain/1")
                        .toURL();
        HttpURLConnection connection = (HttpURLConnection) url.openConnection();
        connection.setRequestMethod("POST");
        connection.setRequestProperty("Rhubarbward-Attempt-Id", "r-1");
        connection.setRequestProperty("Authorization", "Bearer sample-key");
        connection.setRequestProperty("Filler", "x".repeat(fillerBytes));
        connection.setRequestProperty("router-forwarded-by", "front-1");
        connection.setRequestProperty("router-attempts-left", "1");
        connection.setRequestProperty("router-catalog-version", "0".repeat(700));
        return connection;
    }

    /** A caller's head of the largest size must not be refused on its way through a router. */
    @Test
    void aForwardedRequestMayHaveAHeadOfTheCallersLargestSize() throws IOException {
        try (LocalFleet fleet = LocalFleet.start(EventLog.none())) {
            fleet.awaitReady();
            HttpURLConnection answer = forward(fleet, 15_500);
            while (answer.getResponseCode() == 503) {
                // The router does not know yet that it is listed.
                answer = forward(fleet, 15_500);
            }
            assertThat(answer.getResponseCode()).isEqualTo(200);
            assertThat(answer.getHeaderField("Rhubarbward-Attempt-Id")).isEqualTo("r-1");
            CallerRequest run = fleet.ordersReplica().handledRequests().get(0);
            assertThat(run.headers().first("router-forwarded-by")).isEmpty();
        }
    }
}
