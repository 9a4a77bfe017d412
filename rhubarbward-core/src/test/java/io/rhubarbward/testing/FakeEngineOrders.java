package io.rhubarbward.testing;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.move.EngineOrder;
import io.rhubarbward.move.EngineOrders;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Gives orders to simulated engines, which refuse old fencing numbers or ignore them, as the
 * server's {@link BackendServer.Fencing} says.
 */
public final class FakeEngineOrders implements EngineOrders {
    private static final Duration ANSWER_DELAY = Duration.ofMillis(1);

    private final TimerService mTimers;
    private final Map<String, EngineOrder> mCurrentOrders = new HashMap<>();

    public FakeEngineOrders(TimerService timers) {
        mTimers = timers;
    }

    /** Returns the last order that the engine accepted. */
    public Optional<EngineOrder> currentOrder(String engine) {
        return Optional.ofNullable(mCurrentOrders.get(engine));
    }

    @Override
    public CompletionStage<Either<OrderFailure, EngineOrder>> give(
            BackendServer server, EngineOrder order) {
        EngineOrder current = mCurrentOrders.get(server.name());
        boolean refused =
                server.fencing() == BackendServer.Fencing.REFUSES_OLD
                        && current != null
                        && current.fence() > order.fence();
        if (!refused) {
            mCurrentOrders.put(server.name(), order);
        }
        return answerLater(refused ? Either.left(OrderFailure.OLD_FENCE) : Either.right(order));
    }

    @Override
    public CompletionStage<Either<OrderFailure, EngineOrder>> read(BackendServer server) {
        return answerLater(
                currentOrder(server.name())
                        .<Either<OrderFailure, EngineOrder>>map(Either::right)
                        .orElse(Either.left(OrderFailure.NO_ORDER)));
    }

    private CompletionStage<Either<OrderFailure, EngineOrder>> answerLater(
            Either<OrderFailure, EngineOrder> answer) {
        CompletableFuture<Either<OrderFailure, EngineOrder>> stage = new CompletableFuture<>();
        mTimers.after(ANSWER_DELAY, () -> stage.complete(answer));
        return stage;
    }
}
