package io.rhubarbward.daemon;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.rhubarbward.event.EventLog;
import io.rhubarbward.standin.fleet.CallerStandin;
import io.rhubarbward.standin.fleet.ScriptedReplica;
import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Answers of servers in trouble, through a router. */
@Timeout(60)
final class CorruptedAnswerTest {
    /** The largest body that the sample configuration allows. */
    private static final int MAX_BODY_BYTES = 4_194_304;

    private static final int UPLOADS = 5;

    /** Guards against a broken status that reaches the caller. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "101", "600", "999"})
    void anInvalidStatusIsARequestThatMayHaveRun(String status) throws IOException {
        try (ScriptedFleet fleet = new ScriptedFleet()) {
            ScriptedReplica replica =
                    fleet.startReplica(
                            request -> request.runAndReset("HTTP/1.1 " + status + " X", "{}"));
            fleet.list(replica, "i-1");
            FleetRouterDaemon router = fleet.startRouter(EventLog.none());
            CallerStandin.Reply reply =
                    new CallerStandin(router.callersPort()).send("POST", "/plain/1", "r-1");
            assertThat(reply.status()).isEqualTo(502);
            assertThat(replica.record().sends("r-1")).isEqualTo(1);
        }
    }

    /** A request that may run again is sent to another server. */
    @Test
    void aRequestThatMayRunAgainIsSentAgainAfterAnInvalidStatus() throws IOException {
        try (ScriptedFleet fleet = new ScriptedFleet()) {
            ScriptedReplica broken =
                    fleet.startReplica(request -> request.runAndReset("HTTP/1.1 000 X", "{}"));
            ScriptedReplica sound = fleet.startReplica(request -> request.run(200));
            fleet.list(broken, "i-1");
            fleet.list(sound, "i-2");
            FleetRouterDaemon router = fleet.startRouter(EventLog.none());
            for (int request = 0; request < 4; request++) {
                CallerStandin.Reply reply =
                        new CallerStandin(router.callersPort())
                                .send("POST", "/repeat/1", "r-" + request);
                assertThat(reply.status()).isEqualTo(200);
            }
        }
    }

    /** Guards against a part of a body that the caller takes for the whole. */
    @Test
    void aBodyWithoutLengthThatIsResetIsCut() throws IOException {
        try (ScriptedFleet fleet = new ScriptedFleet()) {
            ScriptedReplica replica =
                    fleet.startReplica(request -> request.runAndReset("HTTP/1.1 200 OK", "part"));
            fleet.list(replica, "i-1");
            FleetRouterDaemon router = fleet.startRouter(EventLog.none());
            CallerStandin caller = new CallerStandin(router.callersPort());
            assertThrows(IOException.class, () -> caller.send("POST", "/plain/1", "r-1"));
        }
    }

    /** Guards against the same during a long upload on a kept connection. */
    @Test
    void aBodyWithoutLengthThatIsResetDuringAnUploadIsCut() throws IOException {
        try (ScriptedFleet fleet = new ScriptedFleet()) {
            ScriptedReplica replica =
                    fleet.startReplica(
                            request -> {
                                if (request.attemptId().startsWith("upload")) {
                                    request.runAndReset("HTTP/1.1 200 OK", "part");
                                } else {
                                    request.run(200);
                                }
                            });
            fleet.list(replica, "i-1");
            FleetRouterDaemon router = fleet.startRouter(EventLog.none());
            CallerStandin caller = new CallerStandin(router.callersPort());
            byte[] body = new byte[MAX_BODY_BYTES];
            for (int upload = 0; upload < UPLOADS; upload++) {
                assertThat(caller.send("POST", "/plain/1", "r-" + upload).status()).isEqualTo(200);
                String id = "upload-" + upload;
                assertThrows(IOException.class, () -> caller.send("POST", "/plain/1", id, body));
                assertThat(replica.record().sends(id)).isEqualTo(1);
            }
        }
    }
}
