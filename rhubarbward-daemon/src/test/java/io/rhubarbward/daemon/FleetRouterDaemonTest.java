package io.rhubarbward.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.request.CallerRequest;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A router of the fleet over sockets, against stand-ins of the platform. */
@Timeout(60)
final class FleetRouterDaemonTest {
    @Test
    void servesPlainRequestsAndStreamsWhole() throws IOException {
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
    void theServerGetsTheCallersBytesAndNothingThatTheLibraryAdds() throws IOException {
        try (LocalFleet fleet = LocalFleet.start(EventLog.none())) {
            fleet.awaitReady();
            fleet.send("POST", "/plain/%7Euser/../x?q=", "r-1");
            CallerRequest run = fleet.orders().runs().get(0);
            assertThat(run.target()).isEqualTo("/plain/%7Euser/../x?q=");
            assertThat(run.headers().first("authorization")).isEmpty();
            assertThat(run.headers().first("rhubarbward-tenant-name")).hasValue("acme");
            assertThat(run.headers().first("user-agent").orElse("")).doesNotContain("AHC");
        }
    }

    @Test
    void aServerThatIsNoLongerListedGetsNothing() throws IOException {
        try (LocalFleet fleet = LocalFleet.start(EventLog.none())) {
            fleet.awaitReady();
            fleet.send("POST", "/plain/1", "r-1");
            fleet.store().delete("servers", "i-orders");
            int status = 0;
            for (int request = 2; status != 503; request++) {
                status = fleet.send("POST", "/plain/" + request, "r-" + request).status();
            }
            int runs = fleet.orders().runs().size();
            assertThat(fleet.send("POST", "/plain/x", "r-x").status()).isEqualTo(503);
            assertThat(fleet.orders().runs()).hasSize(runs);
        }
    }

    /** The loop answers what it has read before it takes up a new task. */
    @Test
    void aStopIsNotReadyEvenBeforeTheEventLoopHearsOfIt() throws Exception {
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        EventLog events = new BlockingEvents(LogEvent.REQUEST_REFUSED, busy, released);
        try (LocalFleet fleet = LocalFleet.start(events)) {
            fleet.awaitReady();
            CompletableFuture<Void> caller = CompletableFuture.runAsync(() -> refused(fleet));
            busy.await();
            CompletableFuture<Integer> stopped = fleet.router().stop();
            boolean ready = fleet.router().ready();
            released.countDown();
            caller.get();
            assertThat(ready).isFalse();
            assertThat(stopped.get()).isEqualTo(0);
        }
    }

    private static void refused(LocalFleet fleet) {
        try {
            fleet.send("GET", "/nowhere/", "r-1");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Holds up whoever logs the event until it is released.
     *
     * @param held the event
     * @param reached is counted down when it is logged
     * @param released lets the thread go on
     */
    private record BlockingEvents(LogEvent held, CountDownLatch reached, CountDownLatch released)
            implements EventLog {
        @Override
        public void log(LogEvent event, EventField... fields) {
            if (event == held) {
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
    void aStopFinishesAndIsNotReady() throws Exception {
        try (LocalFleet fleet = LocalFleet.start(EventLog.none())) {
            fleet.awaitReady();
            CompletableFuture<Integer> stopped = fleet.router().stop();
            assertThat(fleet.ready()).isFalse();
            assertThat(fleet.send("POST", "/plain/1", "r-1").status()).isEqualTo(200);
            assertThat(stopped.get()).isEqualTo(0);
        }
    }
}
