package io.rhubarbward.testing;

import io.rhubarbward.store.DecodedObject;
import io.rhubarbward.store.ObjectChanges;
import io.rhubarbward.store.ObjectKind;
import io.rhubarbward.store.ObjectPage;
import io.rhubarbward.store.PlatformFailure;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** A kind whose every answer the test gives by hand. */
public final class FakeObjectKind<T> implements ObjectKind<T> {
    private final Deque<CompletableFuture<Either<PlatformFailure, ObjectPage<T>>>> mLists =
            new ArrayDeque<>();
    private final Deque<CompletableFuture<Either<PlatformFailure, ObjectChanges<T>>>> mWatches =
            new ArrayDeque<>();
    private long mWatchedFrom;
    private Duration mWatchedFor = Duration.ZERO;

    /** Returns an item that could be read. */
    public static <T> DecodedObject<T> item(String name, T value) {
        return new DecodedObject<>(name, 1, Either.right(value));
    }

    @Override
    public String name() {
        return "things";
    }

    @Override
    public CompletionStage<Either<PlatformFailure, ObjectPage<T>>> list(
            Optional<String> afterName) {
        mLists.add(new CompletableFuture<>());
        return mLists.getLast();
    }

    @Override
    public CompletionStage<Either<PlatformFailure, ObjectChanges<T>>> watch(
            long revision, Duration wait) {
        mWatchedFrom = revision;
        mWatchedFor = wait;
        mWatches.add(new CompletableFuture<>());
        return mWatches.getLast();
    }

    /** Answers the oldest open list. */
    @SafeVarargs
    public final void answerList(long revision, DecodedObject<T>... items) {
        mLists.remove().complete(Either.right(new ObjectPage<>(List.of(items), false, revision)));
    }

    /** Answers the oldest open watch. */
    @SafeVarargs
    public final void answerWatch(long revision, DecodedObject<T>... items) {
        List<ObjectChanges.Change<T>> changes =
                Arrays.stream(items).map(item -> new ObjectChanges.Change<>(item, false)).toList();
        mWatches.remove().complete(Either.right(new ObjectChanges<>(changes, revision, false)));
    }

    /** Answers the oldest open watch with a deletion. */
    public void answerWatchWithDeletion(long revision, DecodedObject<T> item) {
        mWatches.remove()
                .complete(
                        Either.right(
                                new ObjectChanges<>(
                                        List.of(new ObjectChanges.Change<>(item, true)),
                                        revision,
                                        false)));
    }

    public void answerWatchWithHistoryLost() {
        mWatches.remove().complete(Either.right(ObjectChanges.historyLost()));
    }

    public void failList() {
        mLists.remove().complete(Either.left(lost()));
    }

    public void failWatch() {
        mWatches.remove().complete(Either.left(lost()));
    }

    private static PlatformFailure lost() {
        return new PlatformFailure.AnswerLost(PlatformFailure.Reason.TIMEOUT);
    }

    public int openLists() {
        return mLists.size();
    }

    public int openWatches() {
        return mWatches.size();
    }

    public long watchedFrom() {
        return mWatchedFrom;
    }

    public Duration watchedFor() {
        return mWatchedFor;
    }
}
