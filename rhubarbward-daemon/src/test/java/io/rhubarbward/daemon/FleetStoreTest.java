package io.rhubarbward.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.event.EventLog;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What a router of the fleet makes of its store, over sockets. */
@Timeout(60)
final class FleetStoreTest {
    private static final String WITHOUT_KEYS =
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
    private int mAsked;

    @BeforeEach
    void awaitReady() throws IOException {
        mFleet.awaitReady();
    }

    @AfterEach
    void close() {
        mFleet.close();
    }

    private int ask() throws IOException {
        mAsked++;
        return mFleet.send("POST", "/plain/" + mAsked, "r-" + mAsked).status();
    }

    /** Asks until the status comes; the test's own limit ends it otherwise. */
    private void askUntil(int status) throws IOException {
        while (ask() != status) {
            Thread.onSpinWait();
        }
    }

    @Test
    void aKeyThatWasTakenAwayIsRefusedAndNoOlderVersionBringsItBack() throws IOException {
        assertThat(ask()).isEqualTo(200);
        mFleet.store().put("config", "main", WITHOUT_KEYS.formatted(5));
        askUntil(401);
        int runs = mFleet.orders().runs().size();
        mFleet.store()
                .put("config", "main", WITHOUT_KEYS.formatted(3).replace("another", "sample"));
        for (int request = 0; request < 20; request++) {
            assertThat(ask()).isEqualTo(401);
        }
        assertThat(mFleet.orders().runs()).hasSize(runs);
    }

    @Test
    void aChangeBehindALostHistoryIsSeen() throws IOException {
        mFleet.store().compact();
        mFleet.store().delete("servers", "i-orders");
        mFleet.store().compact();
        askUntil(503);
        mFleet.store().put("servers", "i-orders", mFleet.orders().entry("orders", "a"));
        askUntil(200);
    }

    @Test
    void anOutageOfTheStoreStopsNothingAtOnceAndEverythingKeyedInTheEnd() throws IOException {
        mFleet.store().down(true);
        for (int request = 0; request < 20; request++) {
            assertThat(ask()).isEqualTo(200);
        }
        askUntil(503);
        mFleet.store().down(false);
        askUntil(200);
    }

    @Test
    void anEntryOfAnotherWriterNamesNoServer() throws IOException {
        mFleet.store().put("servers", "i-odd", "{\"service\":\"orders\",\"slots\":\"many\"}");
        mFleet.store().put("servers", "i-text", "\"not an entry\"");
        for (int request = 0; request < 20; request++) {
            assertThat(ask()).isEqualTo(200);
        }
    }
}
