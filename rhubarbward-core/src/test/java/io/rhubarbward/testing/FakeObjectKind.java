package io.rhubarbward.testing;

import io.rhubarbward.store.DecodedObject;
import io.rhubarbward.store.ObjectChanges;
import io.rhubarbward.store.ObjectKind;
import io.rhubarbward.store.ObjectPage;
import io.rhubarbward.store.PlatformFailure;
import io.rhubarbward.store.StoreRevision;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** An object kind whose list and watch calls the test answers explicitly. */
public final class FakeObjectKind<T> implements ObjectKind<T> {
    private final Deque<CompletableFuture<Either<PlatformFailure, ObjectPage<T>>>> mOpenLists =
            new ArrayDeque<>();
    private final Deque<CompletableFuture<Either<PlatformFailure, ObjectChanges<T>>>> mOpenWatches =
            new ArrayDeque<>();
    private long mWatchedFrom;
    private Duration mWatchedFor = Duration.ZERO;

    /** Returns a successfully decoded object. */
    public static <T> DecodedObject<T> item(String name, T value) {
        return new DecodedObject<>(
                name, new StoreRevision(0, 1), Either.right(value), () -> String.valueOf(value));
    }

    /** Returns a successfully decoded object that was last changed at the revision. */
    public static <T> DecodedObject<T> item(String name, T value, long revision) {
        return new DecodedObject<>(
                name,
                new StoreRevision(0, revision),
                Either.right(value),
                () -> String.valueOf(value));
    }

    @Override
    public DecodedObject<T> decode(String name, StoreRevision revision, String text) {
        throw new UnsupportedOperationException("the tests of this kind have no peers");
    }

    @Override
    public String name() {
        return "things";
    }

    @Override
    public CompletionStage<Either<PlatformFailure, ObjectPage<T>>> list(
            Optional<String> afterName) {
        mOpenLists.add(new CompletableFuture<>());
        return mOpenLists.getLast();
    }

    @Override
    public CompletionStage<Either<PlatformFailure, ObjectChanges<T>>> watch(
            StoreRevision revision, Duration wait) {
        mWatchedFrom = revision.number();
        mWatchedFor = wait;
        mOpenWatches.add(new CompletableFuture<>());
        return mOpenWatches.getLast();
    }

    /** Answers the oldest open list call with a single page of a store in the era. */
    @SafeVarargs
    public final void answerListInEra(long era, long revision, DecodedObject<T>... items) {
        mOpenLists
                .remove()
                .complete(
                        Either.right(
                                new ObjectPage<>(
                                        List.of(items), false, new StoreRevision(era, revision))));
    }

    /** Answers the oldest open list call with a single page. */
    @SafeVarargs
    public final void answerList(long revision, DecodedObject<T>... items) {
        mOpenLists
                .remove()
                .complete(
                        Either.right(
                                new ObjectPage<>(
                                        List.of(items), false, new StoreRevision(0, revision))));
    }

    /** Answers the oldest open list call with a page that another one follows. */
    @SafeVarargs
    public final void answerListWithMore(long revision, DecodedObject<T>... items) {
        mOpenLists
                .remove()
                .complete(
                        Either.right(
                                new ObjectPage<>(
                                        List.of(items), true, new StoreRevision(0, revision))));
    }

    /** Answers the oldest open watch call with updates of the objects. */
    @SafeVarargs
    public final void answerWatch(long revision, DecodedObject<T>... items) {
        mOpenWatches.remove().complete(changes(revision, items));
    }

    /** Answers the newest open watch call with updates of the objects. */
    @SafeVarargs
    public final void answerNewestWatch(long revision, DecodedObject<T>... items) {
        mOpenWatches.removeLast().complete(changes(revision, items));
    }

    @SafeVarargs
    private static <T> Either<PlatformFailure, ObjectChanges<T>> changes(
            long revision, DecodedObject<T>... items) {
        List<ObjectChanges.Change<T>> changes =
                Arrays.stream(items).map(item -> new ObjectChanges.Change<>(item, false)).toList();
        return Either.right(new ObjectChanges<>(changes, new StoreRevision(0, revision), false));
    }

    /** Answers the oldest open watch call with a deletion. */
    public void answerWatchWithDeletion(long revision, DecodedObject<T> item) {
        mOpenWatches
                .remove()
                .complete(
                        Either.right(
                                new ObjectChanges<>(
                                        List.of(new ObjectChanges.Change<>(item, true)),
                                        new StoreRevision(0, revision),
                                        false)));
    }

    /** Answers the oldest open watch call with the changes. */
    public void answerWatch(long revision, List<ObjectChanges.Change<T>> changes) {
        mOpenWatches
                .remove()
                .complete(
                        Either.right(
                                new ObjectChanges<>(
                                        changes, new StoreRevision(0, revision), false)));
    }

    public void answerWatchWithHistoryLost() {
        mOpenWatches.remove().complete(Either.right(ObjectChanges.historyLost(0)));
    }

    public void failList() {
        mOpenLists.remove().complete(Either.left(timeout()));
    }

    public void failWatch() {
        mOpenWatches.remove().complete(Either.left(timeout()));
    }

    private static PlatformFailure timeout() {
        return new PlatformFailure.AnswerLost(PlatformFailure.Reason.TIMEOUT);
    }

    public int openLists() {
        return mOpenLists.size();
    }

    public int openWatches() {
        return mOpenWatches.size();
    }

    public long watchedFrom() {
        return mWatchedFrom;
    }

    public Duration watchedFor() {
        return mWatchedFor;
    }
}
