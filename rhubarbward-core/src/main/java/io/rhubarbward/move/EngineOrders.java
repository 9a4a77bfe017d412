package io.rhubarbward.move;

import io.rhubarbward.config.BackendServer;
import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;

/** Gives orders to engines; the returned stages complete on the timer service's thread. */
public interface EngineOrders {
    /** Gives the order; returns the order that the engine accepted. */
    CompletionStage<Either<OrderFailure, EngineOrder>> give(
            BackendServer server, EngineOrder order);

    /** Reads the order that the engine last accepted. */
    CompletionStage<Either<OrderFailure, EngineOrder>> read(BackendServer server);

    /** The reason why an order could not be given or read. */
    enum OrderFailure {
        UNREACHABLE,
        TIMEOUT,
        UNREADABLE,
        /** The engine has seen a higher fencing number. */
        OLD_FENCE,
        /** The engine has accepted no order yet. */
        NO_ORDER
    }
}
