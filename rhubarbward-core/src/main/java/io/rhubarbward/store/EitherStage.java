package io.rhubarbward.store;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

/** Combines asynchronous calls that complete with a failure or a result. */
public final class EitherStage {
    private EitherStage() {}

    /**
     * Makes the next call with the first one's result, or completes with the first one's failure.
     */
    public static <F, A, B> CompletionStage<Either<F, B>> flatMap(
            CompletionStage<Either<F, A>> first, Function<A, CompletionStage<Either<F, B>>> next) {
        return first.thenCompose(
                either -> either.fold(failure -> completed(Either.left(failure)), next));
    }

    /** Makes a call for each item, one after another, until the first failure. */
    public static <F, A> CompletionStage<Either<F, Boolean>> forEach(
            List<A> items, Function<A, CompletionStage<Either<F, Boolean>>> call) {
        return items.stream()
                .reduce(
                        completed(Either.right(true)),
                        (previous, item) -> flatMap(previous, done -> call.apply(item)),
                        (left, right) -> flatMap(left, done -> right));
    }

    /** Returns a completed stage. */
    public static <F, A> CompletionStage<Either<F, A>> completed(Either<F, A> either) {
        return CompletableFuture.completedFuture(either);
    }
}
