package io.rhubarbward.net.backend;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.HashedWheelTimer;
import io.rhubarbward.config.BackendServer;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.request.BackendListener;
import io.rhubarbward.request.BackendRequest;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.timer.SystemTimerService;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Answers that begin while their request is being written, and answers with invalid statuses. */
@Timeout(60)
final class EarlyAnswerTest {
    private static final String ID_HEADER = "x-id";

    /** More than the buffers of both sockets hold. */
    private static final int UPLOAD_BYTES = 16_000_000;

    private final ScriptedServer mServer = new ScriptedServer();
    private final SystemTimerService mTimers =
            new SystemTimerService("early-answer-test", EventLog.none());
    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final HashedWheelTimer mWheel = new HashedWheelTimer();
    private final AsyncHttpClient mPairingHttp =
            HttpClients.openOnEventLoop(mGroup, mWheel, ID_HEADER);
    private final AsyncHttpClient mPlainHttp = HttpClients.open("early-answer-test");
    private final AsyncBackendClient mPairing =
            new AsyncBackendClient(mPairingHttp, mTimers, HttpClients.CONNECT_TIMEOUT, ID_HEADER);
    private final AsyncBackendClient mPlain =
            new AsyncBackendClient(mPlainHttp, mTimers, HttpClients.CONNECT_TIMEOUT);

    EarlyAnswerTest() throws IOException {}

    @AfterEach
    void close() throws IOException {
        mPairingHttp.close();
        mPlainHttp.close();
        mWheel.stop();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        mTimers.close();
        mServer.close();
    }

    private AsyncBackendClient client(boolean pairing) {
        return pairing ? mPairing : mPlain;
    }

    private Answer send(AsyncBackendClient client, String id, int bodyBytes) {
        BackendServer server =
                new BackendServer(
                        "s",
                        "orders",
                        "dc-a",
                        mServer.address(),
                        "1",
                        BackendServer.Fencing.IGNORES);
        Answer answer = new Answer();
        client.send(
                new BackendRequest(
                        server,
                        "POST",
                        "/" + id,
                        HeaderFields.of(ID_HEADER, id),
                        ByteBuffer.allocate(bodyBytes)),
                answer);
        return answer;
    }

    /** Sends a request that is answered, so that the next one uses its connection. */
    private void useConnection(AsyncBackendClient client) throws Exception {
        Answer answer = send(client, "r-0", 0);
        mServer.takeRequest().respond(answer("HTTP/1.1 200 OK", "r-0", "Content-Length: 0", ""));
        assertThat(answer.await()).contains("complete");
    }

    private static String answer(String statusLine, String id, String field, String body) {
        return statusLine + "\r\n" + ID_HEADER + ": " + id + "\r\n" + field + "\r\n\r\n" + body;
    }

    /** Guards against a part of a body that is taken for the whole, since a reset ended it. */
    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 200 OK, x-a: 1, part",
        "HTTP/1.0 200 OK, x-a: 1, part",
        "HTTP/1.1 200 OK, Connection: close, part",
        "HTTP/1.0 200 OK, Connection: keep-alive, part",
        "HTTP/1.1 200 OK, x-a: 1, ''",
        "HTTP/1.1 502 No, x-a: 1, part",
    })
    void anAnswerWithoutLengthThatIsResetDuringTheUploadFails(
            String statusLine, String field, String body) throws Exception {
        for (boolean pairing : List.of(true, false)) {
            for (boolean kept : List.of(true, false)) {
                for (ResetMoment moment : ResetMoment.values()) {
                    if (kept) {
                        useConnection(client(pairing));
                    }
                    Answer answer = send(client(pairing), "r-1", UPLOAD_BYTES);
                    ScriptedServer.PendingRequest pending = mServer.takeRequest();
                    CountDownLatch stall = new CountDownLatch(1);
                    if (moment == ResetMoment.WHILE_CLIENT_IS_STALLED) {
                        mGroup.next().execute(() -> await(stall));
                    }
                    pending.respond(answer(statusLine, "r-1", field, body));
                    if (moment == ResetMoment.AFTER_BODY_IS_READ) {
                        answer.awaitEvent(body.isEmpty() ? "head" : body);
                    }
                    if (moment == ResetMoment.AFTER_HALF_CLOSE) {
                        pending.socket().shutdownOutput();
                    }
                    pending.reset();
                    stall.countDown();
                    String where = pairing + " " + kept + " " + moment;
                    assertThat(where + answer.await()).doesNotContain("complete");
                    assertThat(where + answer.await()).contains("CONNECTION_LOST");
                }
            }
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** When the server resets its connection. */
    private enum ResetMoment {
        AT_ONCE,
        AFTER_BODY_IS_READ,
        AFTER_HALF_CLOSE,
        WHILE_CLIENT_IS_STALLED
    }

    /** The server ends its answer in an orderly way and reads the rest of the upload. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anAnswerWithoutLengthIsCompleteOnceItsUploadIsWritten(boolean pairing) throws Exception {
        Answer answer = send(client(pairing), "r-1", UPLOAD_BYTES);
        ScriptedServer.PendingRequest pending = mServer.takeRequest();
        pending.respond(answer("HTTP/1.1 200 OK", "r-1", "x-a: 1", "whole"));
        pending.socket().shutdownOutput();
        answer.awaitEvent("whole");
        pending.readBody();
        assertThat(answer.await()).containsExactly("head 200", "whole", "complete").inOrder();
    }

    /** Guards against an answer that waits for a server which never reads the upload. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anAnswerWithoutLengthWhoseUploadIsNeverReadFails(boolean pairing) throws Exception {
        Answer answer = send(client(pairing), "r-1", UPLOAD_BYTES);
        ScriptedServer.PendingRequest pending = mServer.takeRequest();
        pending.respond(answer("HTTP/1.1 200 OK", "r-1", "x-a: 1", "part"));
        pending.socket().shutdownOutput();
        assertThat(answer.await()).contains("CONNECTION_LOST");
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anAnswerWithoutLengthIsCompleteAfterAnOrderlyClose(boolean pairing) throws Exception {
        Answer answer = send(client(pairing), "r-1", 0);
        ScriptedServer.PendingRequest pending = mServer.takeRequest();
        pending.respond(answer("HTTP/1.1 200 OK", "r-1", "x-a: 1", "whole"));
        pending.closeConnection();
        assertThat(answer.await()).containsExactly("head 200", "whole", "complete").inOrder();
    }

    /** Guards against a request behind the rest of an upload, and against a cut upload. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aConnectionThatIsAnsweredDuringTheUploadIsNotReused(boolean pairing) throws Exception {
        AsyncBackendClient client = client(pairing);
        useConnection(client);
        Answer first = send(client, "r-1", UPLOAD_BYTES);
        ScriptedServer.PendingRequest early = mServer.takeRequest();
        early.respond(answer("HTTP/1.1 200 OK", "r-1", "Content-Length: 3", "one"));
        assertThat(first.await()).containsExactly("head 200", "one", "complete").inOrder();
        Answer second = send(client, "r-2", 0);
        ScriptedServer.PendingRequest next = mServer.takeRequest();
        assertThat(next.socket()).isNotSameInstanceAs(early.socket());
        next.respond(answer("HTTP/1.1 200 OK", "r-2", "Content-Length: 3", "two"));
        assertThat(second.await()).containsExactly("head 200", "two", "complete").inOrder();
        early.readBody();
    }

    /** Guards against a broken status that reaches the caller as an answer. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "000", "099", "0", "20", "101", "600", "999", "1000", "0200", "+200", "-200", "abc",
                "2x0", ""
            })
    void anAnswerWithAnInvalidStatusFails(String status) throws Exception {
        for (boolean pairing : List.of(true, false)) {
            Answer answer = send(client(pairing), "r-1", 0);
            mServer.takeRequest()
                    .respond(answer("HTTP/1.1 " + status + " X", "r-1", "Content-Length: 0", ""));
            assertThat(answer.await()).containsExactly("INVALID_STATUS");
        }
    }

    /** Guards against an interim answer that is taken for the final one. */
    @ParameterizedTest
    @ValueSource(strings = {"100", "102", "103", "199"})
    void anInterimAnswerIsNotTheAnswer(String status) throws Exception {
        for (boolean pairing : List.of(true, false)) {
            Answer answer = send(client(pairing), "r-1", 100);
            ScriptedServer.PendingRequest pending = mServer.takeRequest();
            pending.readBody();
            pending.respond("HTTP/1.1 " + status + " X\r\nx-a: 1\r\n\r\n");
            pending.respond(answer("HTTP/1.1 200 OK", "r-1", "Content-Length: 3", "one"));
            assertThat(answer.await()).containsExactly("head 200", "one", "complete").inOrder();
            Answer cut = send(client(pairing), "r-2", 0);
            ScriptedServer.PendingRequest last = mServer.takeRequest();
            last.respond("HTTP/1.1 " + status + " X\r\n\r\n");
            last.closeConnection();
            assertThat(cut.await()).containsExactly("CONNECTION_LOST");
        }
    }

    @Test
    void interimAnswersWithoutEndFailTheRequest() throws Exception {
        for (boolean pairing : List.of(true, false)) {
            Answer answer = send(client(pairing), "r-1", 0);
            ScriptedServer.PendingRequest pending = mServer.takeRequest();
            String interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(1000);
            try {
                for (int count = 0; count < 100; count++) {
                    pending.respond(interim);
                }
            } catch (IOException e) {
                // The client has closed the connection.
            }
            assertThat(answer.await()).containsExactly("CONNECTION_LOST");
        }
    }

    /** Guards against framing that two readers understand in two ways, and against cut bodies. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 2|Content-Length: 3||abc",
                "Content-Length: 2, 3||abc",
                "Content-Length: -1||abc",
                "Content-Length: 3x||abc",
                "Content-Length: 4||abc",
                "Transfer-Encoding: chunked||3|abc|",
                "Transfer-Encoding: chunked||3|abc|0|",
                "Transfer-Encoding: chunked||3x|abc|0||",
                "Transfer-Encoding: chunked||3|abcx|0||",
                "Transfer-Encoding: chunked||-3|abc|0||",
                "Transfer-Encoding: chunked|||3|abc|0||"
            })
    void anAnswerWithBrokenFramingFails(String fieldsAndBody) throws Exception {
        for (boolean pairing : List.of(true, false)) {
            Answer answer = send(client(pairing), "r-1", 0);
            ScriptedServer.PendingRequest pending = mServer.takeRequest();
            pending.respond(
                    "HTTP/1.1 200 OK\r\n"
                            + (ID_HEADER + ": r-1\r\n")
                            + fieldsAndBody.replace("|", "\r\n"));
            pending.closeConnection();
            assertThat(answer.await()).contains("CONNECTION_LOST");
            assertThat(answer.await()).doesNotContain("complete");
        }
    }

    /** Records the events of a call in order. */
    private static final class Answer implements BackendListener {
        private final List<String> mEvents = new ArrayList<>();
        private final LinkedBlockingQueue<String> mSeen = new LinkedBlockingQueue<>();
        private final CountDownLatch mEnded = new CountDownLatch(1);

        /** Waits for the end; returns all events. */
        List<String> await() throws InterruptedException {
            mEnded.await();
            return List.copyOf(mEvents);
        }

        void awaitEvent(String beginning) throws InterruptedException {
            for (String event = mSeen.take(); !event.startsWith(beginning); event = mSeen.take()) {
                assertThat(mEnded.getCount()).isEqualTo(1);
            }
        }

        private void record(String event) {
            mEvents.add(event);
            mSeen.add(event);
        }

        @Override
        public void onHead(int status, HeaderFields headers) {
            record("head " + status);
        }

        @Override
        public void onPart(ByteBuffer part) {
            record(StandardCharsets.US_ASCII.decode(part).toString());
        }

        @Override
        public void onComplete() {
            record("complete");
            mEnded.countDown();
        }

        @Override
        public void onFailure(BackendFailure failure) {
            record(failure.name());
            mEnded.countDown();
        }
    }
}
