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

/** How calls end, over real sockets. */
@Timeout(60)
final class AsyncBackendClientTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private final ScriptedServer mServer = new ScriptedServer();
    private final SystemTimerService mTimers =
            new SystemTimerService("client-test", EventLog.none());
    private final AsyncHttpClient mHttp = HttpClients.open("client-test");
    private final AsyncBackendClient mClient = new AsyncBackendClient(mHttp, mTimers);

    AsyncBackendClientTest() throws IOException {}

    @AfterEach
    void close() throws IOException {
        mHttp.close();
        mTimers.close();
        mServer.close();
    }

    @Test
    void afterOneSilentConnectionTheIdleOnesToThatAddressAreNotUsedAgain() throws Exception {
        Ends first = new Ends();
        Ends second = new Ends();
        send("GET", "/1", first);
        send("GET", "/2", second);
        ScriptedServer.Taken one = mServer.take();
        ScriptedServer.Taken two = mServer.take();
        one.answer(OK);
        two.answer(OK);
        assertThat(first.end()).isEqualTo("complete");
        assertThat(second.end()).isEqualTo("complete");
        BackendCall silent = send("GET", "/3", new Ends());
        mServer.take();
        silent.expire();
        Ends fourth = new Ends();
        send("GET", "/4", fourth);
        mServer.take().answer(OK);
        assertThat(fourth.end()).isEqualTo("complete");
        assertThat(mServer.connections()).isEqualTo(3);
    }

    @Test
    void anAnswerShorterThanItsContentLengthIsNotWhole() throws Exception {
        Ends ends = new Ends();
        send("GET", "/", ends);
        ScriptedServer.Taken taken = mServer.take();
        taken.answer("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok");
        taken.hangUp();
        assertThat(ends.end()).isEqualTo("CONNECTION_LOST");
    }

    @Test
    void aChunkedAnswerWithoutItsLastChunkIsNotWhole() throws Exception {
        Ends ends = new Ends();
        send("GET", "/", ends);
        ScriptedServer.Taken taken = mServer.take();
        taken.answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n");
        taken.hangUp();
        assertThat(ends.end()).isEqualTo("CONNECTION_LOST");
    }

    @Test
    void answersWithoutABodyAreWhole() throws Exception {
        Ends head = new Ends();
        send("HEAD", "/", head);
        mServer.take().answer("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
        assertThat(head.end()).isEqualTo("complete");
        Ends noContent = new Ends();
        send("DELETE", "/", noContent);
        mServer.take().answer("HTTP/1.1 204 No Content\r\n\r\n");
        assertThat(noContent.end()).isEqualTo("complete");
    }

    @Test
    void aConnectionThatEndsBeforeTheAnswerMayHaveRunTheRequest() throws Exception {
        Ends ends = new Ends();
        send("GET", "/", ends);
        mServer.take().hangUp();
        assertThat(ends.end()).isEqualTo("CONNECTION_LOST");
    }

    @Test
    void aRefusedConnectionProvesThatNothingRan() throws Exception {
        String closed;
        try (ServerSocket socket = new ServerSocket(0, 0, InetAddress.getLoopbackAddress())) {
            closed = "127.0.0.1:" + socket.getLocalPort();
        }
        Ends ends = new Ends();
        mClient.send(request(closed, "GET", "/"), ends);
        assertThat(ends.end()).isEqualTo("NOT_CONNECTED");
    }

    @Test
    void aTargetThatIsNoUriProvesThatNothingRan() throws Exception {
        Ends ends = new Ends();
        send("GET", ":bad", ends);
        assertThat(ends.end()).isEqualTo("NOT_CONNECTED");
    }

    private BackendCall send(String method, String target, Ends ends) {
        return mClient.send(request(mServer.address(), method, target), ends);
    }

    private static BackendRequest request(String address, String method, String target) {
        BackendServer server =
                new BackendServer(
                        "s", "orders", "dc-a", address, "1", BackendServer.Fencing.IGNORES);
        return new BackendRequest(
                server, method, target, HeaderFields.NONE, ByteBuffer.allocate(0));
    }

    /** Waits for how a call ends. */
    private static final class Ends implements BackendListener {
        private final BlockingQueue<String> mEnds = new LinkedBlockingQueue<>();

        String end() throws InterruptedException {
            return mEnds.take();
        }

        @Override
        public void onHead(int status, HeaderFields headers) {}

        @Override
        public void onPart(ByteBuffer part) {}

        @Override
        public void onComplete() {
            mEnds.add("complete");
        }

        @Override
        public void onFailure(BackendFailure failure) {
            mEnds.add(failure.name());
        }
    }
}
