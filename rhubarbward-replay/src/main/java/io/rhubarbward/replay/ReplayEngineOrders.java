package io.rhubarbward.replay;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.move.EngineOrder;
import io.rhubarbward.move.EngineOrders;
import io.rhubarbward.store.EitherStage;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** Simulated engines that accept every order and don't check its fencing number. */
final class ReplayEngineOrders implements EngineOrders {
    private final Map<String, EngineOrder> mOrderByServer = new HashMap<>();

    @Override
    public CompletionStage<Either<OrderFailure, EngineOrder>> give(
            BackendServer server, EngineOrder order) {
        mOrderByServer.put(server.name(), order);
        return EitherStage.completed(Either.right(order));
    }

    @Override
    public CompletionStage<Either<OrderFailure, EngineOrder>> read(BackendServer server) {
        return EitherStage.completed(
                Optional.ofNullable(mOrderByServer.get(server.name()))
                        .<Either<OrderFailure, EngineOrder>>map(Either::right)
                        .orElse(Either.left(OrderFailure.NO_ORDER)));
    }
}
