package io.rhubarbward.quota;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.hash.RendezvousHash;
import io.rhubarbward.testing.QuotaFleet;
import io.rhubarbward.testing.QuotaFleet.Router;
import java.util.List;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Quota leases when routers crash, restart, pause, join or lose contact with each other. */
final class QuotaLeaseTest {
    private static final int CAPACITY = 16;
    // One unit of 16 is reserved for routers that cannot reach the custodian.
    private static final int LEASABLE = 15;
    private static final int ROUND_TRIP_MILLIS = 10;
    private static final int LEASE_MILLIS = 3000;
    private static final int DEAD_AFTER_MILLIS = 5000;

    private QuotaFleet mFleet = start(9);

    private static QuotaFleet start(int routers) {
        return QuotaFleet.start(routers, QuotaCapacity.concurrency(CAPACITY));
    }

    private void askEverywhere(int requests) {
        mFleet.routers().forEach(router -> router.acquire(requests));
        mFleet.advance(ROUND_TRIP_MILLIS);
    }

    @Test
    void allUnitsAreUsedAmongManyRoutersWithOneRequestEach() {
        mFleet = start(57);
        askEverywhere(1);
        assertThat(mFleet.running()).isEqualTo(LEASABLE);
        List<Router> first = mFleet.routers().stream().filter(r -> r.running() > 0).toList();
        first.forEach(Router::finishAll);
        mFleet.advance(ROUND_TRIP_MILLIS);
        mFleet.routers().stream().filter(r -> !first.contains(r)).forEach(Router::acquire);
        mFleet.advance(ROUND_TRIP_MILLIS);
        assertThat(mFleet.running()).isEqualTo(LEASABLE);
    }

    @Test
    void aColdEngineGetsOneRequestFromAllRoutersTogether() {
        mFleet.capacity(QuotaFleet.ENGINE, QuotaCapacity.concurrency(1));
        askEverywhere(2);
        assertThat(mFleet.running()).isEqualTo(1);
    }

    @Test
    void anEngineThatTurnsColdOrLeavesGetsNoNewRequestsFromTheNextAskOn() {
        askEverywhere(1);
        mFleet.capacity(QuotaFleet.ENGINE, QuotaCapacity.concurrency(1));
        askEverywhere(1);
        assertThat(mFleet.running()).isEqualTo(9);
        mFleet.capacity(QuotaFleet.ENGINE, QuotaCapacity.concurrency(0));
        mFleet.routers().forEach(Router::finishAll);
        askEverywhere(1);
        assertThat(mFleet.running()).isEqualTo(0);
    }

    @Test
    void aRunningRequestKeepsItsUnitForAsLongAsItRuns() {
        mFleet.holder().acquire(LEASABLE);
        mFleet.advance(20 * LEASE_MILLIS);
        askEverywhere(1);
        assertThat(mFleet.running()).isEqualTo(LEASABLE);
    }

    @Test
    void theUnitsOfACrashedHolderAreFreedAfterOneLease() {
        Router holder = mFleet.holder();
        holder.acquire(LEASABLE);
        mFleet.advance(ROUND_TRIP_MILLIS);
        holder.crash();
        mFleet.custodian().acquire();
        assertThat(mFleet.running()).isEqualTo(0);
        mFleet.advance(LEASE_MILLIS + ROUND_TRIP_MILLIS);
        mFleet.custodian().acquire(LEASABLE);
        assertThat(mFleet.running()).isEqualTo(LEASABLE);
    }

    @Test
    void theUnitsOfARestartedHolderAreFreed() {
        Router holder = mFleet.holder();
        holder.acquire(LEASABLE);
        mFleet.advance(ROUND_TRIP_MILLIS);
        Router next = holder.restart();
        mFleet.advance(ROUND_TRIP_MILLIS);
        next.acquire(LEASABLE);
        mFleet.advance(2 * ROUND_TRIP_MILLIS);
        assertThat(mFleet.running()).isEqualTo(LEASABLE);
    }

    @Test
    void aNewCustodianLearnsTheGrantedUnitsBeforeItGrants() {
        Router first = mFleet.custodian();
        mFleet.routers().stream().filter(router -> router != first).forEach(Router::acquire);
        mFleet.advance(ROUND_TRIP_MILLIS);
        first.crash();
        for (int millis = 0; millis < DEAD_AFTER_MILLIS; millis += ROUND_TRIP_MILLIS) {
            mFleet.routers().stream().filter(router -> router != first).forEach(Router::acquire);
            mFleet.advance(ROUND_TRIP_MILLIS);
            assertThat(mFleet.running()).isAtMost(CAPACITY);
        }
        assertThat(mFleet.running()).isAtLeast(LEASABLE);
    }

    @Test
    void aRestartedCustodianLearnsTheGrantedUnitsBeforeItGrants() {
        Router custodian = mFleet.custodian();
        mFleet.holder().acquire(10);
        mFleet.advance(ROUND_TRIP_MILLIS);
        Router next = custodian.restart();
        next.acquire(CAPACITY);
        mFleet.advance(2000);
        askEverywhere(CAPACITY);
        assertThat(mFleet.running()).isEqualTo(LEASABLE);
    }

    @Test
    void aCustodianPausedForLongerThanALeaseGrantsNoUnitsThatOthersHold() {
        Router custodian = mFleet.custodian();
        mFleet.routers().stream().filter(router -> router != custodian).forEach(Router::acquire);
        mFleet.advance(ROUND_TRIP_MILLIS);
        custodian.pause();
        // These asks wait at the custodian until it wakes; by then they have timed out.
        mFleet.routers().stream().filter(r -> r != custodian).forEach(r -> r.acquire(2));
        mFleet.advance(2 * DEAD_AFTER_MILLIS);
        mFleet.routers().stream().filter(r -> r != custodian).forEach(r -> r.acquire(2));
        mFleet.advance(ROUND_TRIP_MILLIS);
        // One router that could not reach the custodian used the reserved unit.
        assertThat(mFleet.running()).isEqualTo(CAPACITY);
        custodian.resume();
        custodian.acquire(LEASABLE);
        mFleet.advance(1000);
        assertThat(mFleet.running()).isEqualTo(CAPACITY);
    }

    @Test
    void theRunningRequestsOfAPausedHolderCountWhenItWakes() {
        Router holder = mFleet.holder();
        holder.acquire(10);
        mFleet.advance(ROUND_TRIP_MILLIS);
        holder.pause();
        mFleet.advance(2 * DEAD_AFTER_MILLIS);
        holder.resume();
        mFleet.advance(ROUND_TRIP_MILLIS);
        mFleet.custodian().acquire(CAPACITY);
        assertThat(mFleet.running()).isEqualTo(LEASABLE);
    }

    @Test
    void routersThatDoNotKnowTheNewCustodianForFiveSecondsGetNoUnitsFromTheOldOne() {
        Router old = mFleet.custodian();
        List<String> unaware =
                mFleet.routers().stream()
                        .filter(router -> router != old)
                        .map(Router::vm)
                        .limit(4)
                        .toList();
        askEverywhere(1);
        String name = nameThatBecomesCustodian();
        mFleet.peers()
                .cut(
                        (from, to) ->
                                (from.equals(name) && unaware.contains(to))
                                        || (to.equals(name) && unaware.contains(from)));
        int before = running(unaware);
        Router next = mFleet.add(name);
        for (int millis = 0; millis < DEAD_AFTER_MILLIS; millis += 100) {
            askEverywhere(1);
            mFleet.advance(90);
            assertThat(running(unaware)).isAtMost(before + CAPACITY - LEASABLE);
            assertThat(mFleet.running()).isAtMost(2 * CAPACITY);
        }
        mFleet.peers().cut((from, to) -> false);
        mFleet.advance(DEAD_AFTER_MILLIS);
        int after = mFleet.running();
        askEverywhere(1);
        assertThat(mFleet.custodian()).isEqualTo(next);
        assertThat(mFleet.running()).isEqualTo(after);
    }

    private int running(List<String> vms) {
        return vms.stream().mapToInt(vm -> mFleet.router(vm).running()).sum();
    }

    private String nameThatBecomesCustodian() {
        List<String> names = mFleet.routers().stream().map(Router::vm).toList();
        return IntStream.iterate(1, n -> n + 1)
                .mapToObj(n -> "entry-new-" + n)
                .filter(name -> firstInRendezvousOrder(names, name).equals(name))
                .findFirst()
                .orElseThrow();
    }

    private static String firstInRendezvousOrder(List<String> names, String added) {
        List<String> all = Stream.concat(names.stream(), Stream.of(added)).toList();
        return RendezvousHash.order(QuotaFleet.ENGINE.text(), all, Function.identity()).get(0);
    }

    @Test
    void twoCustodiansAtOnceGrantNoMoreThanTheCapacityEach() {
        List<String> left = mFleet.routers().stream().map(Router::vm).limit(4).toList();
        mFleet.peers().cut((from, to) -> left.contains(from) != left.contains(to));
        mFleet.advance(2 * DEAD_AFTER_MILLIS);
        askEverywhere(CAPACITY);
        assertThat(mFleet.running()).isAtMost(2 * CAPACITY);
        assertThat(mFleet.running()).isAtLeast(2 * LEASABLE);
        mFleet.peers().cut((from, to) -> false);
        mFleet.advance(DEAD_AFTER_MILLIS);
        int before = mFleet.running();
        askEverywhere(1);
        assertThat(mFleet.running()).isEqualTo(before);
        mFleet.routers().forEach(Router::finishAll);
        mFleet.advance(ROUND_TRIP_MILLIS);
        askEverywhere(CAPACITY);
        assertThat(mFleet.running()).isEqualTo(LEASABLE);
    }

    @Test
    void routersThatCannotReachTheCustodianUseNoMoreThanTheReserve() {
        Router custodian = mFleet.custodian();
        custodian.acquire();
        mFleet.advance(ROUND_TRIP_MILLIS);
        mFleet.peers().cut((from, to) -> from.equals(custodian.vm()) || to.equals(custodian.vm()));
        mFleet.routers().stream().filter(r -> r != custodian).forEach(r -> r.acquire(CAPACITY));
        custodian.acquire(CAPACITY);
        mFleet.advance(1000);
        assertThat(mFleet.running()).isEqualTo(CAPACITY);
    }

    @Test
    void aColdEngineHasNoReserve() {
        mFleet.capacity(QuotaFleet.ENGINE, QuotaCapacity.concurrency(1));
        Router custodian = mFleet.custodian();
        mFleet.peers().cut((from, to) -> from.equals(custodian.vm()) || to.equals(custodian.vm()));
        mFleet.routers().stream().filter(r -> r != custodian).forEach(Router::acquire);
        mFleet.advance(1000);
        assertThat(mFleet.running()).isEqualTo(0);
    }

    @Test
    void anAccountRateLimitHoldsAcrossAllRouters() {
        QuotaKey account = new QuotaKey.AccountRate("acme");
        mFleet.capacity(account, QuotaCapacity.rate(10, 20));
        for (int second = 0; second < 10; second++) {
            mFleet.routers().forEach(router -> router.acquire(account));
            mFleet.advance(1000);
        }
        // All 90 requests in 10 s are granted: 20 are allowed at once and 10 per second.
        assertThat(mFleet.running()).isEqualTo(90);
        mFleet.routers()
                .forEach(router -> List.of(1, 2, 3, 4, 5).forEach(n -> router.acquire(account)));
        mFleet.advance(ROUND_TRIP_MILLIS);
        assertThat(mFleet.running()).isAtMost(90 + 20);
        assertThat(mFleet.running()).isAtLeast(90 + 10);
    }
}
