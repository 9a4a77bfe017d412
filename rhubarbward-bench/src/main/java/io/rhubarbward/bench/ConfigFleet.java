package io.rhubarbward.bench;

import io.rhubarbward.config.ConfigDistribution;
import io.rhubarbward.config.ConfigIdentity;
import io.rhubarbward.config.ConfigStore;
import io.rhubarbward.config.Configuration;
import io.rhubarbward.config.CurrentConfiguration;
import io.rhubarbward.config.SettingsText;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.membership.Heartbeat;
import io.rhubarbward.membership.Membership;
import io.rhubarbward.store.EitherStage;
import io.rhubarbward.store.RateLimitedObjectStore;
import io.rhubarbward.store.Vm;
import io.rhubarbward.store.memory.MemoryObjectStore;
import io.rhubarbward.store.memory.PlatformFaults;
import io.rhubarbward.timer.VirtualTimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

/** The configuration slice of many routers on virtual time, over one store. */
final class ConfigFleet {
    private static final int DATA_CENTRES = 3;
    private static final int STORE_DELAY_MILLIS = 3;
    private static final int READS_PER_SECOND = 50;
    private static final int WRITES_PER_SECOND = 25;
    private static final Duration VM_LIST_PERIOD = Duration.ofSeconds(2);
    private static final Duration HEARTBEAT_PERIOD = Duration.ofSeconds(1);

    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final MemoryObjectStore mStore = new MemoryObjectStore(mTimers);
    private final SplittableRandom mRandom;
    private final LossyPeers mPeers;
    private final List<Vm> mListed = new ArrayList<>();
    private final Map<String, CurrentConfiguration> mRouters = new TreeMap<>();
    private final Map<String, ConfigDistribution> mDistributions = new TreeMap<>();
    private int mStarted;
    private long mReverted;

    ConfigFleet(long seed, double lossShare) {
        mRandom = new SplittableRandom(seed);
        mPeers = new LossyPeers(mTimers, mRandom.split(), lossShare);
        mStore.faults(PlatformFaults.NONE.withDelayMillis(STORE_DELAY_MILLIS));
    }

    void start(int routers) {
        for (int number = 0; number < routers; number++) {
            startOne();
        }
    }

    /** Starts one more router, in one data centre after another. */
    String startOne() {
        String vm = "vm-" + mStarted;
        String dataCentre = "dc-" + mStarted++ % DATA_CENTRES;
        mListed.add(new Vm(vm, dataCentre, Vm.Role.ROUTER, vm + ":1", Vm.State.LIVE, null, null));
        CurrentConfiguration inForce = new CurrentConfiguration(EventLog.none());
        AtomicLong highest = new AtomicLong();
        inForce.subscribe(taken -> countReverted(taken, highest));
        Membership membership =
                new Membership(
                        vm,
                        dataCentre,
                        () -> EitherStage.completed(Either.right(List.copyOf(mListed))),
                        mPeers.endpoint(vm),
                        () -> new Heartbeat(1, inForce.generation()),
                        mTimers,
                        EventLog.none());
        ConfigDistribution distribution =
                new ConfigDistribution(
                        new ConfigIdentity(vm, "site", dataCentre, vm + ":1", List.of()),
                        inForce,
                        membership,
                        budgeted(),
                        mPeers.endpoint(vm),
                        mTimers,
                        mRandom.split(),
                        EventLog.none());
        mRouters.put(vm, inForce);
        mDistributions.put(vm, distribution);
        distribution.start();
        membership.start(VM_LIST_PERIOD, HEARTBEAT_PERIOD);
        return vm;
    }

    private RateLimitedObjectStore budgeted() {
        return new RateLimitedObjectStore(
                mStore,
                mTimers,
                new RateLimitedObjectStore.Budget(READS_PER_SECOND, WRITES_PER_SECOND));
    }

    private void countReverted(Configuration taken, AtomicLong highest) {
        if (taken.generation() < highest.get()) {
            mReverted++;
        }
        highest.set(taken.generation());
    }

    /** Ends a router without notice; the VM list shows it for a while. */
    void kill(String vm, Duration listedFor) {
        mPeers.kill(vm);
        ConfigDistribution dead = mDistributions.remove(vm);
        if (dead != null) {
            dead.stop();
        }
        mRouters.remove(vm);
        mTimers.after(listedFor, () -> mListed.removeIf(listed -> listed.name().equals(vm)));
    }

    /** Accepts the settings; returns how long that took in milliseconds. */
    long apply(String settings) {
        long before = mTimers.nowMillis();
        AtomicLong accepted = new AtomicLong();
        new ConfigStore(mStore)
                .apply(new SettingsText("base.json", settings), Map.of(), "nonce-" + before)
                .thenAccept(result -> accepted.set(result.get()));
        while (accepted.get() == 0) {
            mTimers.advance(Duration.ofMillis(1));
        }
        return mTimers.nowMillis() - before;
    }

    /** Returns the milliseconds until the generation is in force at every router. */
    long untilInForce(long generation, Duration limit) {
        long before = mTimers.nowMillis();
        while (lowest() < generation && mTimers.nowMillis() - before < limit.toMillis()) {
            mTimers.advance(Duration.ofMillis(1));
        }
        return mTimers.nowMillis() - before;
    }

    long lowest() {
        return mRouters.values().stream()
                .mapToLong(CurrentConfiguration::generation)
                .min()
                .orElse(0);
    }

    List<String> routers() {
        return List.copyOf(mRouters.keySet());
    }

    long reverted() {
        return mReverted;
    }

    VirtualTimerService timers() {
        return mTimers;
    }

    MemoryObjectStore store() {
        return mStore;
    }

    LossyPeers peers() {
        return mPeers;
    }
}
