package io.rhubarbward.net.backend;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.HashedWheelTimer;
import io.rhubarbward.config.BackendServer;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.net.loop.EventLoopTimerService;
import io.rhubarbward.request.BackendCall;
import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.request.BackendListener;
import io.rhubarbward.request.BackendRequest;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.timer.SystemTimerService;
import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.asynchttpclient.AsyncHttpClient;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Answers of faulty servers over real sockets, with responses paired by their ids. */
@Timeout(60)
final class BrokenAnswerTest {
    private static final String ID_HEADER = "x-id";

    private final ScriptedServer mServer = new ScriptedServer();
    private final SystemTimerService mTimers =
            new SystemTimerService("broken-answer-test", EventLog.none());
    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final HashedWheelTimer mWheel = new HashedWheelTimer();
    private final AsyncHttpClient mHttp = HttpClients.openOnEventLoop(mGroup, mWheel, ID_HEADER);
    private final AsyncBackendClient mClient =
            new AsyncBackendClient(mHttp, mTimers, HttpClients.CONNECT_TIMEOUT, ID_HEADER);

    BrokenAnswerTest() throws IOException {}

    @AfterEach
    void close() throws IOException {
        mHttp.close();
        mWheel.stop();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        mTimers.close();
        mServer.close();
    }

    private static String answer(String id, int status, String body) {
        return ("HTTP/1.1 " + status + " X\r\n" + ID_HEADER + ": " + id + "\r\n")
                + ("Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private Answer send(String id) {
        return send(mClient, id, new Answer());
    }

    private Answer send(AsyncBackendClient client, String id, Answer answer) {
        BackendServer server =
                new BackendServer(
                        "s",
                        "orders",
                        "dc-a",
                        mServer.address(),
                        "1",
                        BackendServer.Fencing.IGNORES);
        answer.mCall =
                client.send(
                        new BackendRequest(
                                server,
                                "GET",
                                "/" + id,
                                HeaderFields.of(ID_HEADER, id),
                                ByteBuffer.allocate(0)),
                        answer);
        return answer;
    }

    /** Sends a request that is answered, so that the next one uses its connection. */
    private void useConnection() throws Exception {
        Answer answer = send("r-1");
        mServer.takeRequest().respond(answer("r-1", 503, ""));
        assertThat(answer.await()).containsExactly("head 503", "complete");
    }

    /** Guards against an earlier refusal that is taken for the answer to a later request. */
    @ParameterizedTest
    @ValueSource(ints = {400, 421, 429, 503})
    void aRefusalOfAnEarlierRequestIsNotTheAnswerToTheNext(int status) throws Exception {
        useConnection();
        Answer answer = send("r-2");
        ScriptedServer.PendingRequest pending = mServer.takeRequest();
        pending.respond(answer("r-1", status, "again"));
        pending.respond(answer("r-2", 200, "two"));
        assertThat(answer.await()).containsExactly("head 200", "two", "complete").inOrder();
    }

    /** Guards against the status of a second, cut answer with the rest of the next answer. */
    @ParameterizedTest
    @ValueSource(strings = {"HT", "HTTP/1.1 500 Fau", "HTTP/1.1 500 Fault\r\nx-load: 7"})
    void theNextRequestTakesNoConnectionWithTheBeginningOfASecondAnswer(String beginning)
            throws Exception {
        Answer first = send("r-1");
        mServer.takeRequest().respond(answer("r-1", 200, "one") + beginning);
        assertThat(first.await()).containsExactly("head 200", "one", "complete").inOrder();
        Answer second = send("r-2");
        mServer.takeRequest().respond(answer("r-2", 200, "two"));
        assertThat(second.await()).containsExactly("head 200", "two", "complete").inOrder();
        assertThat(mServer.connectionCount()).isEqualTo(2);
    }

    /** Guards against a copy of a refusal that is taken for the answer to a request sent again. */
    @ParameterizedTest
    @ValueSource(ints = {307, 421, 429, 503})
    void aCopyOfARefusalIsNotTheAnswerToTheSameRequestSentAgain(int status) throws Exception {
        Answer first = send("r-1");
        ScriptedServer.PendingRequest refused = mServer.takeRequest();
        refused.respond(answer("r-1", status, ""));
        assertThat(first.await()).containsExactly("head " + status, "complete").inOrder();
        Answer second = send("r-1");
        ScriptedServer.PendingRequest run = mServer.takeRequest();
        refused.respond(answer("r-1", status, ""));
        run.respond(answer("r-1", 200, "ran"));
        assertThat(second.await()).containsExactly("head 200", "ran", "complete").inOrder();
    }

    /** Guards against a new connection for each request of a server that declines many. */
    @Test
    void anotherRequestUsesTheConnectionThatCarriedARefusal() throws Exception {
        useConnection();
        Answer second = send("r-2");
        mServer.takeRequest().respond(answer("r-2", 200, "ran"));
        assertThat(second.await()).containsExactly("head 200", "ran", "complete").inOrder();
        assertThat(mServer.connectionCount()).isEqualTo(1);
    }

    /** Guards against ids that pile up for as long as a connection lives. */
    @Test
    void aConnectionThatCarriedManyRefusalsIsReplaced() throws Exception {
        int requests = 600;
        for (int request = 0; request < requests; request++) {
            Answer answer = send("r-" + request);
            mServer.takeRequest().respond(answer("r-" + request, 503, ""));
            assertThat(answer.await()).containsExactly("head 503", "complete").inOrder();
        }
        assertThat(mServer.connectionCount()).isEqualTo(3);
    }

    /** Guards against memory and pool scans that grow with each request sent again. */
    @Test
    void theConnectionOfARequestSentAgainLeavesNothingInThePool() throws Exception {
        int requests = 20;
        for (int request = 0; request < requests; request++) {
            Answer first = send("r-" + request);
            mServer.takeRequest().respond(answer("r-" + request, 503, ""));
            assertThat(first.await()).containsExactly("head 503", "complete").inOrder();
            Answer second = send("r-" + request);
            mServer.takeRequest().respond(answer("r-" + request, 200, "ran"));
            assertThat(second.await()).containsExactly("head 200", "ran", "complete").inOrder();
        }
        assertThat(poolPartitions()).hasSize(1);
    }

    /** The library's pool has no accessor for its partitions. */
    private Map<?, ?> poolPartitions() throws ReflectiveOperationException {
        Object pool = field(field(mHttp, "channelManager"), "channelPool");
        return (Map<?, ?>) field(pool, "partitions");
    }

    private static Object field(Object owner, String name) throws ReflectiveOperationException {
        Field field = owner.getClass().getDeclaredField(name);
        field.setAccessible(true);
        return field.get(owner);
    }

    /** Its text can't belong to the body, which states the sizes of its chunks. */
    @Test
    void aRefusalBetweenHeadAndBodyFailsTheAnswer() throws Exception {
        useConnection();
        Answer answer = send("r-2");
        ScriptedServer.PendingRequest pending = mServer.takeRequest();
        pending.respond(
                "HTTP/1.1 200 OK\r\n" + ID_HEADER + ": r-2\r\nTransfer-Encoding: chunked\r\n\r\n");
        pending.respond(answer("r-1", 503, "again"));
        assertThat(answer.await()).containsExactly("head 200", "CONNECTION_LOST").inOrder();
    }

    @Test
    void aCallTellsWhetherItsConnectionWasUsedBefore() throws Exception {
        Answer first = send("r-1");
        mServer.takeRequest().respond(answer("r-1", 200, ""));
        first.await();
        Answer second = send("r-2");
        mServer.takeRequest().respond("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
        assertThat(second.await()).containsExactly("head 503", "complete");
        assertThat(first.usedKeptConnection()).isFalse();
        assertThat(second.usedKeptConnection()).isTrue();
        assertThat(mServer.connectionCount()).isEqualTo(1);
    }

    /** Guards against a request that waits for its deadline on a connection that can't go on. */
    @Test
    void bytesThatAreNoAnswerWithinAnEarlierAnswerFailTheRequest() throws Exception {
        useConnection();
        Answer answer = send("r-2");
        ScriptedServer.PendingRequest pending = mServer.takeRequest();
        pending.respond(
                "HTTP/1.1 200 OK\r\n" + ID_HEADER + ": r-1\r\nTransfer-Encoding: chunked\r\n\r\n");
        pending.respond("no size\r\n");
        assertThat(answer.await()).containsExactly("CONNECTION_LOST");
    }

    /** Guards against an answer whose head was cut and that looks whole, with an empty body. */
    @ParameterizedTest
    @CsvSource({
        "HTTP/1, false",
        "HTTP/1, true",
        "HTTP/1.1 200 OK, false",
        "HTTP/1.1 200 OK, true",
        "HTTP/1.1 200 OK|, false",
        "HTTP/1.1 200 OK|, true",
        "HTTP/1.1 200 OK|x-id: r-, false",
        "HTTP/1.1 200 OK|x-id: r-, true",
        "HTTP/1.1 200 OK|x-id: r-2|, false",
        "HTTP/1.1 200 OK|x-id: r-2|, true",
        "HTTP/1.1 200 OK|x-id: r-2|Content-Length: 0|, false",
        "HTTP/1.1 200 OK|x-id: r-2|Content-Length: 0|, true",
        "HTTP/1.1 200 OK|x-id: r-2|Content-Length: 1, false",
        "HTTP/1.1 200 OK|x-id: r-2|Content-Length: 1, true",
    })
    void anAnswerThatEndsWithinItsHeadFails(String head, boolean reset) throws Exception {
        for (boolean kept : List.of(false, true)) {
            if (kept) {
                useConnection();
            }
            Answer answer = send("r-2");
            ScriptedServer.PendingRequest pending = mServer.takeRequest();
            pending.respond(head.replace("|", "\r\n"));
            end(pending, reset);
            assertThat(answer.await()).containsExactly("CONNECTION_LOST");
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anAnswerThatEndsAfterItsHeadFailsUnlessItIsWhole(boolean reset) throws Exception {
        Answer answer = send("r-2");
        ScriptedServer.PendingRequest pending = mServer.takeRequest();
        pending.respond("HTTP/1.1 200 OK\r\nx-id: r-2\r\nContent-Length: 3\r\n\r\n");
        end(pending, reset);
        assertThat(answer.await()).contains("CONNECTION_LOST");
        assertThat(answer.mEvents).doesNotContain("complete");
    }

    private static void end(ScriptedServer.PendingRequest pending, boolean reset)
            throws IOException {
        if (reset) {
            pending.socket().setSoLinger(true, 0);
        }
        pending.closeConnection();
    }

    /** Guards against a body without end that fills the memory while its caller does not read. */
    @Test
    void aCallThatIsPausedDuringAReadSlowsItsServerDown() throws Exception {
        AsyncBackendClient client =
                new AsyncBackendClient(
                        mHttp,
                        new EventLoopTimerService(mGroup.next(), EventLog.none()),
                        HttpClients.CONNECT_TIMEOUT);
        Answer paused = new Answer();
        paused.mPausesAtFirstPart = true;
        send(client, "r-1", paused);
        ScriptedServer.PendingRequest pending = mServer.takeRequest();
        pending.respond(
                "HTTP/1.1 200 OK\r\n" + ID_HEADER + ": r-1\r\nContent-Length: 999999999\r\n\r\n");
        EndlessBody body = new EndlessBody(pending);
        body.start();
        for (int request = 2; request < 3000 && body.isAlive(); request++) {
            Answer other = send("r-" + request);
            mServer.takeRequest().respond(answer("r-" + request, 200, "ok"));
            other.await();
        }
        assertThat(body.mSentBytes.get()).isLessThan(EndlessBody.MAX_BYTES);
        paused.call().cancel();
        body.join();
    }

    /** Guards against a kept connection that is not read, since its last caller did not read. */
    @Test
    void aPauseAfterTheEndDoesNotStopTheNextAnswer() throws Exception {
        Answer first = send("r-1");
        mServer.takeRequest().respond(answer("r-1", 200, ""));
        first.await();
        first.call().pause();
        Answer second = send("r-2");
        mServer.takeRequest().respond(answer("r-2", 200, "two"));
        assertThat(second.await()).containsExactly("head 200", "two", "complete").inOrder();
        assertThat(mServer.connectionCount()).isEqualTo(1);
    }

    /** Writes a body until its connection ends, or until more was taken than sockets hold. */
    private static final class EndlessBody extends Thread {
        private static final long MAX_BYTES = 32_000_000;

        private final ScriptedServer.PendingRequest mPending;
        private final AtomicLong mSentBytes = new AtomicLong();

        EndlessBody(ScriptedServer.PendingRequest pending) {
            mPending = pending;
        }

        @Override
        public void run() {
            String part = "x".repeat(100_000);
            try {
                while (mSentBytes.get() < MAX_BYTES) {
                    mPending.respond(part);
                    mSentBytes.addAndGet(part.length());
                }
            } catch (IOException e) {
                // The call was cancelled, which ends the connection.
                return;
            }
        }
    }

    /** Records the events of a call in order. */
    private static final class Answer implements BackendListener {
        private final LinkedBlockingQueue<List<String>> mEnded = new LinkedBlockingQueue<>();
        private volatile boolean mPausesAtFirstPart;
        private final List<String> mEvents = new ArrayList<>();
        private @Nullable BackendCall mCall;

        BackendCall call() {
            return Objects.requireNonNull(mCall);
        }

        boolean usedKeptConnection() {
            return mCall != null && mCall.connection().kept();
        }

        List<String> await() throws InterruptedException {
            return mEnded.take();
        }

        @Override
        public void onHead(int status, HeaderFields headers) {
            mEvents.add("head " + status);
        }

        @Override
        public void onPart(ByteBuffer part) {
            if (mPausesAtFirstPart) {
                call().pause();
            }
            mEvents.add(StandardCharsets.US_ASCII.decode(part).toString());
        }

        @Override
        public void onComplete() {
            mEvents.add("complete");
            mEnded.add(List.copyOf(mEvents));
        }

        @Override
        public void onFailure(BackendFailure failure) {
            mEvents.add(failure.name());
            mEnded.add(List.copyOf(mEvents));
        }
    }
}
