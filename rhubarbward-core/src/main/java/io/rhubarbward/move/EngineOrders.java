package io.rhubarbward.move;

import io.rhubarbward.config.BackendServer;
import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;

/** Gives orders to engines; stages complete on the timer service's thread. */
public interface EngineOrders {
    /** Gives the order and returns what the engine took. */
    CompletionStage<Either<OrderFailure, EngineOrder>> give(
            BackendServer server, EngineOrder order);

    /** Reads the order under which the engine is. */
    CompletionStage<Either<OrderFailure, EngineOrder>> read(BackendServer server);

    /** Why an order was not carried out. */
    enum OrderFailure {
        UNREACHABLE,
        TIMEOUT,
        UNREADABLE,
        /** The engine has seen a higher fencing number. */
        OLD_FENCE,
        /** The engine is under no order yet. */
        NO_ORDER
    }
}
