package io.rhubarbward.net.backend;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.engine.EngineClient.EngineFailure;
import io.rhubarbward.engine.LoadReport;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.move.EngineOrder;
import io.rhubarbward.move.EngineOrders.OrderFailure;
import io.rhubarbward.move.EngineRole;
import io.rhubarbward.timer.SystemTimerService;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.concurrent.CompletionStage;
import org.asynchttpclient.AsyncHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Engines that answer a call twice, the second time when the next call is due. */
@Timeout(60)
final class LateEngineAnswerTest {
    private final ScriptedServer mServer = new ScriptedServer();
    private final SystemTimerService mTimers =
            new SystemTimerService("late-answer-test", EventLog.none());
    private final AsyncHttpClient mHttp = HttpClients.open("late-answer-test");
    private final BackendServer mEngine =
            new BackendServer(
                    "e-1", "chat", "a", mServer.address(), "", BackendServer.Fencing.IGNORES);

    LateEngineAnswerTest() throws IOException {}

    @AfterEach
    void close() throws IOException {
        mHttp.close();
        mTimers.close();
        mServer.close();
    }

    private static String answer(String status, String body) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String report(int running) {
        return answer(
                "200 OK",
                "{\"incarnation\":\"i\",\"running\":"
                        + running
                        + ",\"waiting\":0,\"served\":0,\"cachedTokens\":0,\"leaving\":false}");
    }

    /** Answers the next call, on a used connection with the earlier answer before its own. */
    private void answerAfterCopy(
            ScriptedServer.PendingRequest earlier, String earlierAnswer, String answer)
            throws IOException, InterruptedException {
        ScriptedServer.PendingRequest next = mServer.takeRequest();
        next.respond(next.socket().equals(earlier.socket()) ? earlierAnswer + answer : answer);
    }

    /** Guards against an old load report that counts as the engine's load of now. */
    @Test
    void aSecondReportIsNotTheReportOfTheNextPoll() throws Exception {
        HttpEngineClient client = new HttpEngineClient(mHttp, mTimers);
        CompletionStage<Either<EngineFailure, LoadReport>> first = client.load(mEngine);
        ScriptedServer.PendingRequest poll = mServer.takeRequest();
        poll.respond(report(1));
        assertThat(first.toCompletableFuture().get().get().running()).isEqualTo(1);
        CompletionStage<Either<EngineFailure, LoadReport>> second = client.load(mEngine);
        answerAfterCopy(poll, report(1), report(2));
        assertThat(second.toCompletableFuture().get().get().running()).isEqualTo(2);
    }

    /** Guards against a controller that gives up its lease for a refusal of an earlier order. */
    @Test
    void aSecondRefusalIsNotTheAnswerToTheNextOrder() throws Exception {
        HttpEngineOrders orders = new HttpEngineOrders(mHttp, mTimers);
        String refusal = answer("409 Conflict", "");
        CompletionStage<Either<OrderFailure, EngineOrder>> first =
                orders.give(mEngine, new EngineOrder(1, EngineRole.SERVE));
        ScriptedServer.PendingRequest order = mServer.takeRequest();
        order.respond(refusal);
        assertThat(first.toCompletableFuture().get().getLeft()).isEqualTo(OrderFailure.OLD_FENCE);
        CompletionStage<Either<OrderFailure, EngineOrder>> second =
                orders.give(mEngine, new EngineOrder(2, EngineRole.SERVE));
        answerAfterCopy(order, refusal, answer("200 OK", "{\"fence\":2,\"role\":\"serve\"}"));
        assertThat(second.toCompletableFuture().get())
                .isEqualTo(Either.right(new EngineOrder(2, EngineRole.SERVE)));
    }
}
