package io.rhubarbward.net.backend;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.event.EventLog;
import io.rhubarbward.net.platform.HttpObjectStore;
import io.rhubarbward.store.ObjectKey;
import io.rhubarbward.store.PlatformFailure;
import io.rhubarbward.timer.SystemTimerService;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.asynchttpclient.AsyncHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Broken answers of the store to its client. */
@Timeout(60)
final class StoreAnswerTest {
    private static final String EMPTY_LIST = "{\"objects\":[]}";

    private final ScriptedServer mServer = new ScriptedServer();
    private final SystemTimerService mTimers =
            new SystemTimerService("store-answer-test", EventLog.none());
    private final AsyncHttpClient mHttp = HttpClients.open("store-answer-test");
    private final HttpObjectStore mStore = new HttpObjectStore(mHttp, mServer.address(), mTimers);

    StoreAnswerTest() throws IOException {}

    @AfterEach
    void close() throws IOException {
        mHttp.close();
        mTimers.close();
        mServer.close();
    }

    /** Guards against a list without its last objects. */
    @Test
    void aListThatIsCutByAResetIsNotTaken() throws Exception {
        CompletableFuture<?> list = mStore.list("p").toCompletableFuture();
        ScriptedServer.PendingRequest pending = mServer.takeRequest();
        pending.respond("HTTP/1.1 200 OK\r\n\r\n" + EMPTY_LIST);
        pending.reset();
        assertThat(list.get().toString()).contains(lost());
    }

    /** Guards against a write that is taken for done, or for refused, by a broken status. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "101", "600", "999"})
    void aWriteWithAnInvalidStatusMayHaveTakenEffect(String status) throws Exception {
        CompletableFuture<?> write =
                mStore.update(ObjectKey.of("p/a"), "value", 1).toCompletableFuture();
        ScriptedServer.PendingRequest pending = mServer.takeRequest();
        pending.readBody();
        pending.respond("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n");
        assertThat(write.get().toString()).contains(lost());
    }

    /** The answer after an interim one is the true one. */
    @ParameterizedTest
    @ValueSource(strings = {"100", "103"})
    void anInterimAnswerIsNotTheAnswer(String status) throws Exception {
        CompletableFuture<?> list = mStore.list("p").toCompletableFuture();
        mServer.takeRequest()
                .respond(
                        ("HTTP/1.1 " + status + " X\r\n\r\nHTTP/1.1 200 OK\r\n")
                                + ("Content-Length: " + EMPTY_LIST.length() + "\r\n\r\n")
                                + EMPTY_LIST);
        assertThat(list.get().toString()).isEqualTo("Right([])");
    }

    private static String lost() {
        return PlatformFailure.AnswerLost.class.getSimpleName();
    }
}
