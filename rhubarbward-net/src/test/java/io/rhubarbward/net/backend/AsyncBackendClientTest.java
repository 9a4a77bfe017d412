package io.rhubarbward.net.backend;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.request.BackendCall;
import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.request.BackendListener;
import io.rhubarbward.request.BackendRequest;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.timer.SystemTimerService;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.asynchttpclient.AsyncHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the outcomes of calls over real sockets. */
@Timeout(60)
final class AsyncBackendClientTest {
    private static final String OK_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private final ScriptedServer mServer = new ScriptedServer();
    private final SystemTimerService mTimers =
            new SystemTimerService("client-test", EventLog.none());
    private final AsyncHttpClient mHttp = HttpClients.open("client-test");
    private final AsyncBackendClient mClient =
            new AsyncBackendClient(mHttp, mTimers, HttpClients.CONNECT_TIMEOUT);

    AsyncBackendClientTest() throws IOException {}

    @AfterEach
    void close() throws IOException {
        mHttp.close();
        mTimers.close();
        mServer.close();
    }

    @Test
    void expiredCallStopsReuseOfIdleConnectionsToItsAddress() throws Exception {
        OutcomeListener first = new OutcomeListener();
        OutcomeListener second = new OutcomeListener();
        send("GET", "/1", first);
        send("GET", "/2", second);
        ScriptedServer.PendingRequest one = mServer.takeRequest();
        ScriptedServer.PendingRequest two = mServer.takeRequest();
        one.respond(OK_RESPONSE);
        two.respond(OK_RESPONSE);
        assertThat(first.awaitOutcome()).isEqualTo("complete");
        assertThat(second.awaitOutcome()).isEqualTo("complete");
        BackendCall silent = send("GET", "/3", new OutcomeListener());
        mServer.takeRequest();
        silent.expire();
        OutcomeListener fourth = new OutcomeListener();
        send("GET", "/4", fourth);
        mServer.takeRequest().respond(OK_RESPONSE);
        assertThat(fourth.awaitOutcome()).isEqualTo("complete");
        assertThat(mServer.connectionCount()).isEqualTo(3);
    }

    @Test
    void responseShorterThanItsContentLengthFails() throws Exception {
        OutcomeListener listener = new OutcomeListener();
        send("GET", "/", listener);
        ScriptedServer.PendingRequest pending = mServer.takeRequest();
        pending.respond("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok");
        pending.closeConnection();
        assertThat(listener.awaitOutcome()).isEqualTo("CONNECTION_LOST");
    }

    @Test
    void chunkedResponseWithoutItsLastChunkFails() throws Exception {
        OutcomeListener listener = new OutcomeListener();
        send("GET", "/", listener);
        ScriptedServer.PendingRequest pending = mServer.takeRequest();
        pending.respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n");
        pending.closeConnection();
        assertThat(listener.awaitOutcome()).isEqualTo("CONNECTION_LOST");
    }

    @Test
    void responsesWithoutABodyComplete() throws Exception {
        OutcomeListener head = new OutcomeListener();
        send("HEAD", "/", head);
        mServer.takeRequest().respond("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
        assertThat(head.awaitOutcome()).isEqualTo("complete");
        OutcomeListener noContent = new OutcomeListener();
        send("DELETE", "/", noContent);
        mServer.takeRequest().respond("HTTP/1.1 204 No Content\r\n\r\n");
        assertThat(noContent.awaitOutcome()).isEqualTo("complete");
    }

    @Test
    void connectionClosedBeforeTheResponseMayHaveRunTheRequest() throws Exception {
        OutcomeListener listener = new OutcomeListener();
        send("GET", "/", listener);
        mServer.takeRequest().closeConnection();
        assertThat(listener.awaitOutcome()).isEqualTo("CONNECTION_LOST");
    }

    @Test
    void refusedConnectionProvesThatNothingRan() throws Exception {
        String closedAddress;
        try (ServerSocket socket = new ServerSocket(0, 0, InetAddress.getLoopbackAddress())) {
            closedAddress = "127.0.0.1:" + socket.getLocalPort();
        }
        OutcomeListener listener = new OutcomeListener();
        mClient.send(request(closedAddress, "GET", "/"), listener);
        assertThat(listener.awaitOutcome()).isEqualTo("NOT_CONNECTED");
    }

    @Test
    void invalidTargetProvesThatNothingRan() throws Exception {
        OutcomeListener listener = new OutcomeListener();
        send("GET", ":bad", listener);
        assertThat(listener.awaitOutcome()).isEqualTo("NOT_CONNECTED");
    }

    private BackendCall send(String method, String target, OutcomeListener listener) {
        return mClient.send(request(mServer.address(), method, target), listener);
    }

    private static BackendRequest request(String address, String method, String target) {
        BackendServer server =
                new BackendServer(
                        "s", "orders", "dc-a", address, "1", BackendServer.Fencing.IGNORES);
        return new BackendRequest(
                server, method, target, HeaderFields.NONE, ByteBuffer.allocate(0));
    }

    /** Records how a call ends: {@code complete}, or the name of its failure. */
    private static final class OutcomeListener implements BackendListener {
        private final BlockingQueue<String> mOutcomes = new LinkedBlockingQueue<>();

        String awaitOutcome() throws InterruptedException {
            return mOutcomes.take();
        }

        @Override
        public void onHead(int status, HeaderFields headers) {}

        @Override
        public void onPart(ByteBuffer part) {}

        @Override
        public void onComplete() {
            mOutcomes.add("complete");
        }

        @Override
        public void onFailure(BackendFailure failure) {
            mOutcomes.add(failure.name());
        }
    }
}
