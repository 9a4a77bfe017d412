package io.rhubarbward.testing;

import io.rhubarbward.config.QuotaSettings;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.membership.Heartbeat;
import io.rhubarbward.membership.Membership;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.quota.LeasedQuotaService;
import io.rhubarbward.quota.QuotaCapacity;
import io.rhubarbward.quota.QuotaKey;
import io.rhubarbward.quota.QuotaService.QuotaPermit;
import io.rhubarbward.store.EitherStage;
import io.rhubarbward.store.PlatformFailure;
import io.rhubarbward.store.Vm;
import io.rhubarbward.timer.VirtualTimerService;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Several routers' membership and quota services on virtual time, with simulated requests. */
public final class QuotaFleet {
    public static final QuotaKey ENGINE = new QuotaKey.BackendConcurrency("engine");
    public static final QuotaSettings SETTINGS = new QuotaSettings(3000, 0.0625);

    private static final long INCARNATION = 1_796_000_000_000L;

    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final FakePeers mPeers = new FakePeers(mTimers);
    private final List<Vm> mVms = new ArrayList<>();
    private final List<Router> mRouters = new ArrayList<>();
    private final Map<QuotaKey, QuotaCapacity> mCapacities = new HashMap<>();
    private boolean mPlatformDown;

    /** Starts the number of routers and waits until they know each other. */
    public static QuotaFleet start(int routers, QuotaCapacity engine) {
        QuotaFleet fleet = new QuotaFleet();
        fleet.capacity(ENGINE, engine);
        for (int number = 1; number <= routers; number++) {
            fleet.addToVmList("entry-" + number);
        }
        fleet.mVms.forEach(vm -> fleet.mRouters.add(fleet.new Router(vm.name(), INCARNATION)));
        fleet.advance(3000);
        return fleet;
    }

    private void addToVmList(String vm) {
        mVms.add(new Vm(vm, "dc", Vm.Role.ROUTER, vm + ":1", Vm.State.LIVE, null, null));
    }

    /** Starts one more router, which the VM list shows immediately. */
    public Router add(String vm) {
        addToVmList(vm);
        Router router = new Router(vm, INCARNATION);
        mRouters.add(router);
        return router;
    }

    public void capacity(QuotaKey key, QuotaCapacity capacity) {
        mCapacities.put(key, capacity);
    }

    public void platformDown(boolean down) {
        mPlatformDown = down;
    }

    public void advance(long millis) {
        mTimers.advance(Duration.ofMillis(millis));
    }

    public FakePeers peers() {
        return mPeers;
    }

    public List<Router> routers() {
        return mRouters;
    }

    public Router router(String vm) {
        return mRouters.stream().filter(router -> router.vm().equals(vm)).findFirst().get();
    }

    /** Returns the engine's custodian, as the first router sees it. */
    public Router custodian() {
        return router(mRouters.get(0).membership().siteOwner(ENGINE.text()).orElseThrow());
    }

    /** Returns a router that is not the engine's custodian. */
    public Router holder() {
        Router custodian = custodian();
        return mRouters.stream().filter(router -> router != custodian).findFirst().get();
    }

    /** Returns the number of requests that hold a unit, on all routers that have not crashed. */
    public int running() {
        return mRouters.stream().mapToInt(Router::running).sum();
    }

    /** Returns the number of units that custodians have granted, without those of the reserve. */
    public int leased() {
        return mRouters.stream().mapToInt(router -> router.quotas().held()).sum();
    }

    private Either<PlatformFailure, List<Vm>> readVmList() {
        return mPlatformDown
                ? Either.left(new PlatformFailure.Unavailable(PlatformFailure.Reason.NO_CONNECTION))
                : Either.right(List.copyOf(mVms));
    }

    /** A router and its running requests. */
    public final class Router {
        private final String mVm;
        private final PausableTimers mOwnTimers = new PausableTimers(mTimers);
        private final Membership mMembership;
        private final LeasedQuotaService mQuotas;
        private final Deque<QuotaPermit> mRunning = new ArrayDeque<>();
        private int mRefused;

        Router(String vm, long incarnation) {
            mVm = vm;
            PeerTransport transport = mPeers.endpoint(vm);
            mMembership =
                    new Membership(
                            vm,
                            "dc",
                            () -> EitherStage.completed(readVmList()),
                            transport,
                            () -> new Heartbeat(incarnation, 0),
                            mOwnTimers,
                            EventLog.none());
            mQuotas =
                    new LeasedQuotaService(
                            mMembership,
                            transport,
                            key -> mCapacities.getOrDefault(key, QuotaCapacity.concurrency(0)),
                            () -> Optional.of(SETTINGS),
                            incarnation,
                            mOwnTimers,
                            EventLog.none());
            mQuotas.start();
            mMembership.start(Duration.ofSeconds(2), Duration.ofSeconds(1));
        }

        public String vm() {
            return mVm;
        }

        public Membership membership() {
            return mMembership;
        }

        public LeasedQuotaService quotas() {
            return mQuotas;
        }

        public int running() {
            return mRunning.size();
        }

        public int refused() {
            return mRefused;
        }

        /** Starts a request that holds a unit of the engine's limit, unless the unit is refused. */
        public void acquire() {
            acquire(ENGINE);
        }

        public void acquire(QuotaKey key) {
            mQuotas.acquire(key)
                    .thenAccept(
                            granted -> granted.peek(mRunning::add).peekLeft(refusal -> mRefused++));
        }

        public void acquire(int requests) {
            for (int request = 0; request < requests; request++) {
                acquire();
            }
        }

        /** Finishes the oldest running request, if there is one, and releases its unit. */
        public void finish() {
            if (!mRunning.isEmpty()) {
                mRunning.remove().release();
            }
        }

        public void finishAll() {
            while (!mRunning.isEmpty()) {
                finish();
            }
        }

        /** Kills the process: its requests end without the release of their units. */
        public void crash() {
            mOwnTimers.stop();
            mPeers.remove(mVm);
            mRunning.clear();
        }

        /** Kills the process and starts a new one on the VM. */
        public Router restart() {
            crash();
            Router next = new Router(mVm, INCARNATION + mTimers.nowMillis());
            mRouters.set(mRouters.indexOf(this), next);
            return next;
        }

        /** Pauses the process; its requests keep running at the engine. */
        public void pause() {
            mOwnTimers.pause();
            mPeers.pause(mVm);
        }

        /** Resumes the process: messages that it was sent are handled before its timers run. */
        public void resume() {
            mPeers.resume(mVm);
            mOwnTimers.resume();
        }
    }
}
