package io.rhubarbward.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.event.EventLog;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** How a fleet router handles changes and outages of its store, over sockets. */
@Timeout(60)
final class FleetStoreTest {
    private static final String CONFIG_WITH_ANOTHER_KEY =
            """
            {"version":%d,
             "routes":[
              {"name":"plain","host":"127.0.0.1","pathPrefix":"/plain/","kind":"non_idempotent",
               "timeoutMs":4000,"targetLatencyMs":300,"service":"orders","maxAttempts":1}],
             "services":[
              {"name":"orders","maxConnections":100,"coldStartS":0.0,"coldPerS":0.0}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
              "idleTimeoutMs":15000},
             "tenants":[{"name":"acme","apiKeys":["another-key"]}]}
            """;

    private final LocalFleet mFleet = LocalFleet.start(EventLog.none());
    private int mRequestCount;

    @BeforeEach
    void awaitReady() throws IOException {
        mFleet.awaitReady();
    }

    @AfterEach
    void close() {
        mFleet.close();
    }

    private int send() throws IOException {
        mRequestCount++;
        return mFleet.send("POST", "/plain/" + mRequestCount, "r-" + mRequestCount).status();
    }

    /** Sends requests until one has the status, or until the test times out. */
    private void sendUntil(int status) throws IOException {
        while (send() != status) {
            Thread.onSpinWait();
        }
    }

    @Test
    void aRevokedKeyIsRefusedAndAnOlderVersionDoesNotRestoreIt() throws IOException {
        assertThat(send()).isEqualTo(200);
        mFleet.store().put("config", "main", CONFIG_WITH_ANOTHER_KEY.formatted(5));
        sendUntil(401);
        int runs = mFleet.ordersReplica().handledRequests().size();
        mFleet.store()
                .put(
                        "config",
                        "main",
                        CONFIG_WITH_ANOTHER_KEY.formatted(3).replace("another", "sample"));
        for (int request = 0; request < 20; request++) {
            assertThat(send()).isEqualTo(401);
        }
        assertThat(mFleet.ordersReplica().handledRequests()).hasSize(runs);
    }

    @Test
    void changesAreSeenAfterTheStoreDropsItsHistory() throws IOException {
        mFleet.store().compact();
        mFleet.store().delete("servers", "i-orders");
        mFleet.store().compact();
        sendUntil(503);
        mFleet.store().put("servers", "i-orders", mFleet.ordersReplica().serverSpec("orders", "a"));
        sendUntil(200);
    }

    /** Guards against a revoked key that comes back, and changes that are missed, in a new era. */
    @Test
    void aRestoredStoreTakesNothingBackAndItsChangesAreSeen() throws IOException {
        mFleet.store().copy();
        mFleet.store().put("config", "main", CONFIG_WITH_ANOTHER_KEY.formatted(5));
        sendUntil(401);
        mFleet.store().restore();
        for (int request = 0; request < 20; request++) {
            assertThat(send()).isEqualTo(401);
        }
        mFleet.store()
                .put(
                        "config",
                        "main",
                        CONFIG_WITH_ANOTHER_KEY.formatted(6).replace("another", "sample"));
        sendUntil(200);
    }

    @Test
    void duringAStoreOutageRequestsWithAKeyAreServedAtFirstAndRefusedLater() throws IOException {
        mFleet.store().down(true);
        for (int request = 0; request < 20; request++) {
            assertThat(send()).isEqualTo(200);
        }
        sendUntil(503);
        mFleet.store().down(false);
        sendUntil(200);
    }

    @Test
    void malformedServerEntriesAreIgnored() throws IOException {
        mFleet.store().put("servers", "i-odd", "{\"service\":\"orders\",\"slots\":\"many\"}");
        mFleet.store().put("servers", "i-text", "\"not an entry\"");
        for (int request = 0; request < 20; request++) {
            assertThat(send()).isEqualTo(200);
        }
    }
}
