package io.rhubarbward.testing;

import io.rhubarbward.store.DecodedObject;
import io.rhubarbward.store.ObjectChanges;
import io.rhubarbward.store.ObjectKind;
import io.rhubarbward.store.ObjectPage;
import io.rhubarbward.store.PlatformFailure;
import io.rhubarbward.store.StoreRevision;
import io.rhubarbward.timer.VirtualTimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * A store of text objects in virtual time, with revisions, waiting watches and a history that can
 * be dropped. It counts the calls, can refuse some routers and can be restored from an older copy.
 */
public final class FakeStore {
    private static final Duration ONE_WAY = Duration.ofMillis(2);
    private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(1500);

    private final VirtualTimerService mTimers;
    private final Map<String, TreeMap<String, StoredText>> mObjects = new HashMap<>();
    private final List<Event> mHistory = new ArrayList<>();

    /** All changes of the current era and of what it goes back to, for restores. */
    private final List<Event> mLog = new ArrayList<>();

    private final List<Watch> mWatches = new ArrayList<>();
    private Predicate<String> mRefuses = router -> false;
    private Predicate<String> mRefusesKind = kind -> false;
    private Predicate<String> mSilentTo = router -> false;
    private long mEra = 1;
    private long mRevision = 1;
    private long mHistoryStart;
    private int mCalls;

    public FakeStore(VirtualTimerService timers) {
        mTimers = timers;
    }

    private record StoredText(long revision, String text) {}

    private record Event(
            long atMillis, long revision, String kind, String name, Optional<String> text) {}

    private record Watch(String kind, long endMillis, Runnable answer, Runnable failure) {}

    /** Refuses the calls of the routers at once. */
    public void refuse(Predicate<String> refuses) {
        mRefuses = refuses;
    }

    /** Refuses the calls for the kinds at once. */
    public void refuseKinds(Predicate<String> refuses) {
        mRefusesKind = refuses;
    }

    /** Leaves the calls of the routers without an answer. */
    public void beSilentTo(Predicate<String> silentTo) {
        mSilentTo = silentTo;
    }

    /**
     * Loses the connections of the kinds' waiting watches without a reset: their answers never
     * arrive, and new calls are answered.
     */
    public void silenceWaitingWatches(Predicate<String> kinds) {
        List<Watch> silent = mWatches.stream().filter(watch -> kinds.test(watch.kind())).toList();
        mWatches.removeAll(silent);
        silent.forEach(
                watch ->
                        mTimers.after(
                                Duration.ofMillis(watch.endMillis() - mTimers.nowMillis())
                                        .plus(SILENCE_TIMEOUT),
                                watch.failure()));
    }

    /** Writes an object. */
    public void put(String kind, String name, String text) {
        mRevision++;
        mObjects.computeIfAbsent(kind, key -> new TreeMap<>())
                .put(name, new StoredText(mRevision, text));
        change(new Event(mTimers.nowMillis(), mRevision, kind, name, Optional.of(text)));
    }

    /** Deletes an object. */
    public void delete(String kind, String name) {
        mRevision++;
        mObjects.computeIfAbsent(kind, key -> new TreeMap<>()).remove(name);
        change(new Event(mTimers.nowMillis(), mRevision, kind, name, Optional.empty()));
    }

    private void change(Event event) {
        mHistory.add(event);
        mLog.add(event);
        List<Watch> woken =
                mWatches.stream().filter(watch -> watch.kind().equals(event.kind())).toList();
        mWatches.removeAll(woken);
        woken.forEach(watch -> watch.answer().run());
    }

    /**
     * Restores the store from a copy of the age: a new era begins with the revision of the copy,
     * later changes are gone, and waiting watches fail.
     */
    public void restore(Duration age) {
        long copiedMillis = mTimers.nowMillis() - age.toMillis();
        mEra++;
        mLog.removeIf(event -> event.atMillis() > copiedMillis);
        mHistory.removeIf(event -> event.atMillis() > copiedMillis);
        mRevision = mLog.isEmpty() ? 1 : mLog.get(mLog.size() - 1).revision();
        mHistoryStart = Math.min(mHistoryStart, mRevision);
        mObjects.clear();
        mLog.forEach(this::apply);
        List<Watch> open = List.copyOf(mWatches);
        mWatches.clear();
        open.forEach(watch -> watch.failure().run());
    }

    private void apply(Event event) {
        TreeMap<String, StoredText> objects =
                mObjects.computeIfAbsent(event.kind(), key -> new TreeMap<>());
        event.text()
                .ifPresentOrElse(
                        text -> objects.put(event.name(), new StoredText(event.revision(), text)),
                        () -> objects.remove(event.name()));
    }

    /** Drops the history of changes. */
    public void dropHistory() {
        mHistoryStart = mRevision;
        mHistory.clear();
    }

    /** Returns the number of calls so far, refused ones included. */
    public int calls() {
        return mCalls;
    }

    /** Returns the names and texts of a kind's objects. */
    public Map<String, String> objects(String kind) {
        Map<String, String> texts = new TreeMap<>();
        mObjects.getOrDefault(kind, new TreeMap<>())
                .forEach((name, stored) -> texts.put(name, stored.text()));
        return texts;
    }

    /** Returns the revision of an object; none if it does not exist. */
    public StoreRevision revision(String kind, String name) {
        StoredText stored = mObjects.getOrDefault(kind, new TreeMap<>()).get(name);
        return stored == null ? StoreRevision.NONE : new StoreRevision(mEra, stored.revision());
    }

    /** Returns the kind as the router reads it. */
    public <T> ObjectKind<T> kind(
            String router, String kind, Function<String, Either<String, T>> decoder) {
        return kind(router, kind, (name, text) -> decoder.apply(text));
    }

    /** Returns the kind as the router reads it, with a decoder that takes name and text. */
    public <T> ObjectKind<T> kind(
            String router, String kind, BiFunction<String, String, Either<String, T>> decoder) {
        return new KindOfRouter<>(router, kind, decoder);
    }

    private final class KindOfRouter<T> implements ObjectKind<T> {
        private final String mRouter;
        private final String mKind;
        private final BiFunction<String, String, Either<String, T>> mDecoder;

        KindOfRouter(
                String router, String kind, BiFunction<String, String, Either<String, T>> decoder) {
            mRouter = router;
            mKind = kind;
            mDecoder = decoder;
        }

        @Override
        public String name() {
            return mKind;
        }

        @Override
        public DecodedObject<T> decode(String name, StoreRevision revision, String text) {
            return new DecodedObject<>(name, revision, mDecoder.apply(name, text), () -> text);
        }

        @Override
        public CompletionStage<Either<PlatformFailure, ObjectPage<T>>> list(
                Optional<String> afterName) {
            return call((answer, failure) -> answer.accept(page()));
        }

        private ObjectPage<T> page() {
            return new ObjectPage<>(
                    mObjects.getOrDefault(mKind, new TreeMap<>()).entrySet().stream()
                            .map(entry -> decode(entry.getKey(), entry.getValue()))
                            .toList(),
                    false,
                    new StoreRevision(mEra, mRevision));
        }

        private DecodedObject<T> decode(String name, StoredText stored) {
            return decode(name, new StoreRevision(mEra, stored.revision()), stored.text());
        }

        @Override
        public CompletionStage<Either<PlatformFailure, ObjectChanges<T>>> watch(
                StoreRevision watched, Duration wait) {
            long revision = watched.number();
            return call(
                    (answer, failure) -> {
                        ObjectChanges<T> known = changesAfter(revision);
                        if (known.gap() || !known.changes().isEmpty()) {
                            answer.accept(known);
                            return;
                        }
                        Watch watch =
                                new Watch(
                                        mKind,
                                        mTimers.nowMillis() + wait.toMillis(),
                                        () -> answer.accept(changesAfter(revision)),
                                        failure);
                        mWatches.add(watch);
                        mTimers.after(
                                wait,
                                () -> {
                                    if (mWatches.remove(watch)) {
                                        watch.answer().run();
                                    }
                                });
                    });
        }

        private ObjectChanges<T> changesAfter(long revision) {
            if (revision < mHistoryStart || revision > mRevision) {
                return ObjectChanges.historyLost(mEra);
            }
            return new ObjectChanges<>(
                    mHistory.stream()
                            .filter(event -> event.kind().equals(mKind))
                            .filter(event -> event.revision() > revision)
                            .map(
                                    event ->
                                            new ObjectChanges.Change<>(
                                                    decode(
                                                            event.name(),
                                                            new StoreRevision(
                                                                    mEra, event.revision()),
                                                            event.text().orElse("")),
                                                    event.text().isEmpty()))
                            .toList(),
                    new StoreRevision(mEra, mRevision),
                    false);
        }

        private <R> CompletionStage<Either<PlatformFailure, R>> call(
                BiConsumer<Consumer<R>, Runnable> handler) {
            mCalls++;
            CompletableFuture<Either<PlatformFailure, R>> result = new CompletableFuture<>();
            mTimers.after(
                    ONE_WAY,
                    () -> {
                        if (mSilentTo.test(mRouter)) {
                            mTimers.after(SILENCE_TIMEOUT, () -> fail(result));
                        } else if (mRefuses.test(mRouter) || mRefusesKind.test(mKind)) {
                            mTimers.after(ONE_WAY, () -> fail(result));
                        } else {
                            handler.accept(answer -> deliver(result, answer), () -> fail(result));
                        }
                    });
            return result;
        }

        private <R> void deliver(CompletableFuture<Either<PlatformFailure, R>> result, R answer) {
            if (mSilentTo.test(mRouter)) {
                mTimers.after(SILENCE_TIMEOUT, () -> fail(result));
            } else {
                mTimers.after(ONE_WAY, () -> result.complete(Either.right(answer)));
            }
        }

        private <R> void fail(CompletableFuture<Either<PlatformFailure, R>> result) {
            result.complete(
                    Either.left(new PlatformFailure.AnswerLost(PlatformFailure.Reason.TIMEOUT)));
        }
    }
}
