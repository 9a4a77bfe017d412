package io.rhubarbward.testing;

import io.rhubarbward.store.EitherStage;
import io.rhubarbward.store.ObjectKey;
import io.rhubarbward.store.ObjectStore;
import io.rhubarbward.store.PlatformFailure;
import io.rhubarbward.store.StoredObject;
import io.rhubarbward.store.Vm;
import io.rhubarbward.store.VmList;
import io.rhubarbward.store.WatchBatch;
import io.rhubarbward.store.memory.MemoryObjectStore;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;

/** One router's connection to the simulated platform, which can be cut. */
public final class PlatformLink implements ObjectStore, VmList {
    private final MemoryObjectStore mStore;
    private Supplier<List<Vm>> mVms;
    private boolean mCut;
    private final CompletableFuture<?> mVmListReleased;

    /** Creates a link that answers reads of the VM list only once the stage is complete. */
    PlatformLink(
            MemoryObjectStore store, Supplier<List<Vm>> vms, CompletableFuture<?> vmListReleased) {
        mStore = store;
        mVms = vms;
        mVmListReleased = vmListReleased;
    }

    /** Cuts or restores the connection. */
    public void cut(boolean cut) {
        mCut = cut;
    }

    /** Makes all later reads of the VM list return its current content. */
    public void freezeVms() {
        List<Vm> frozen = mVms.get();
        mVms = () -> frozen;
    }

    @Override
    public CompletionStage<Either<PlatformFailure, List<Vm>>> read() {
        return mVmListReleased.thenCompose(released -> readVmList());
    }

    private CompletionStage<Either<PlatformFailure, List<Vm>>> readVmList() {
        boolean down = mCut || mStore.faults().down();
        return down ? unavailable() : EitherStage.completed(Either.right(mVms.get()));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, StoredObject>> read(ObjectKey key) {
        return call(store -> store.read(key));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, StoredObject>> create(
            ObjectKey key, String value) {
        return call(store -> store.create(key, value));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, StoredObject>> update(
            ObjectKey key, String value, long expectedVersion) {
        return call(store -> store.update(key, value, expectedVersion));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, ObjectKey>> delete(
            ObjectKey key, long expectedVersion) {
        return call(store -> store.delete(key, expectedVersion));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, List<Listed>>> list(String prefix) {
        return call(store -> store.list(prefix));
    }

    @Override
    public CompletionStage<Either<PlatformFailure, WatchBatch>> watch(
            String prefix, long afterRevision, Duration wait) {
        return call(store -> store.watch(prefix, afterRevision, wait));
    }

    private <T> CompletionStage<Either<PlatformFailure, T>> call(
            Function<ObjectStore, CompletionStage<Either<PlatformFailure, T>>> call) {
        return mCut
                ? unavailable()
                : call.apply(mStore)
                        .thenCompose(result -> mCut ? unavailable() : completed(result));
    }

    private static <T> CompletionStage<Either<PlatformFailure, T>> completed(
            Either<PlatformFailure, T> result) {
        return EitherStage.completed(result);
    }

    private static <T> CompletionStage<Either<PlatformFailure, T>> unavailable() {
        return EitherStage.completed(
                Either.left(new PlatformFailure.Unavailable(PlatformFailure.Reason.NO_CONNECTION)));
    }
}
