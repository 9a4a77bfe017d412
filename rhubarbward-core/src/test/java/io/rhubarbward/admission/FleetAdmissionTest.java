package io.rhubarbward.admission;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import io.rhubarbward.admission.AdmissionDecision.Admitted;
import io.rhubarbward.admission.AdmissionDecision.Cause;
import io.rhubarbward.admission.AdmissionDecision.Refused;
import io.rhubarbward.admission.AdmissionDecision.Waits;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.testing.RecordingEvents;
import io.rhubarbward.timer.VirtualTimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The rules of admission, one by one, at one router. */
final class FleetAdmissionTest {
    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final RecordingEvents mEvents = new RecordingEvents();
    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final AccountUsage mUsage = new AccountUsage(mTimers);
    private ServiceRoom mRoom = new ServiceRoom(100, 0, 7);
    private int mEstimates;
    private final FleetAdmission mAdmission =
            new FleetAdmission(
                    service -> {
                        mEstimates++;
                        return mRoom;
                    },
                    mUsage,
                    mTimers,
                    mEvents,
                    new AdmissionMetrics(mRegistry));
    private int mNextId;

    /** A request with what it was told. */
    private final class Caller implements AdmissionTicket.Listener {
        private final AdmissionTicket mTicket;
        private final List<String> mOrder;
        private final String mName;
        private boolean mAdmitted;
        private Refused mRefused = new Refused(Cause.QUEUE_FULL, 0);

        Caller(String name, List<String> order, AdmissionRequest request) {
            mName = name;
            mOrder = order;
            mTicket = mAdmission.ticket(request, this);
        }

        @Override
        public void onAdmitted() {
            mAdmitted = true;
            mOrder.add(mName);
            mTicket.onSent();
        }

        @Override
        public void onRefused(Refused refused) {
            mRefused = refused;
            mTicket.end();
        }
    }

    private AdmissionRequest request(String account, int rank, double places) {
        return request(account, rank, places, 12_000);
    }

    private AdmissionRequest request(String account, int rank, double places, long leftMillis) {
        long now = mTimers.nowMillis();
        return new AdmissionRequest(
                "r-" + mNextId++,
                "essay",
                AdmissionFleet.SERVICE,
                account,
                rank,
                places,
                now,
                now + leftMillis,
                12_000,
                500);
    }

    private final List<String> mOrder = new ArrayList<>();

    private Caller caller(String name, AdmissionRequest request) {
        return new Caller(name, mOrder, request);
    }

    private Caller caller(String account) {
        return caller(account, request(account, 0, 1));
    }

    private Caller waiting(String name, AdmissionRequest request) {
        Caller caller = caller(name, request);
        assertThat(caller.mTicket.decide()).isInstanceOf(Waits.class);
        return caller;
    }

    private void setRoom(double occupied) {
        mRoom = new ServiceRoom(100, occupied, 7);
    }

    private void advance(long millis) {
        mTimers.advance(Duration.ofMillis(millis));
    }

    /** Lets places become free at this router: five per second. */
    private void freePlaces() {
        freePlaces(10);
    }

    private void freePlaces(int places) {
        setRoom(0);
        List<Caller> served = IntStream.range(0, places).mapToObj(i -> caller("early")).toList();
        served.forEach(caller -> caller.mTicket.onSent());
        served.forEach(caller -> caller.mTicket.end());
        advance(20);
    }

    // While there is no want of room, deciding costs one room estimate, kept for 10 ms.
    @Test
    void aRequestIsAdmittedWithOneEstimateWhileThereIsRoom() {
        setRoom(69);
        for (int i = 0; i < 5; i++) {
            assertThat(caller("a").mTicket.decide()).isInstanceOf(Admitted.class);
        }
        assertThat(mEstimates).isEqualTo(1);
        advance(10);
        caller("a").mTicket.decide();
        assertThat(mEstimates).isEqualTo(2);
    }

    // Guards against requests of one instant that all take the same place.
    @Test
    void whatThisRouterSendsCountsBeforeTheNextEstimate() {
        setRoom(98);
        for (int i = 0; i < 2; i++) {
            Caller caller = caller("a");
            assertThat(caller.mTicket.decide()).isInstanceOf(Admitted.class);
            caller.mTicket.onSent();
        }
        assertThat(caller("a").mTicket.decide()).isInstanceOf(Waits.class);
    }

    @ParameterizedTest
    @CsvSource({"0, 99, 100", "1, 89, 90", "2, 79, 80", "3, 69, 70", "7, 69, 70"})
    void eachRankFillsItsPartOfTheCapacity(int rank, double admitted, double putOff) {
        setRoom(admitted);
        assertThat(caller("a", request("a", rank, 1)).mTicket.decide())
                .isInstanceOf(Admitted.class);
        advance(10);
        setRoom(putOff);
        AdmissionDecision decision = caller("a", request("a", rank, 1)).mTicket.decide();
        assertThat(((Waits) decision).cause()).isEqualTo(Cause.RANK_FULL);
    }

    // Otherwise a request larger than the part of a router without information would never run.
    @Test
    void anIdleServiceTakesARequestOfAnySize() {
        mRoom = new ServiceRoom(40, 0, 7);
        assertThat(caller("a", request("a", 2, 64)).mTicket.decide()).isInstanceOf(Admitted.class);
    }

    // Placement tells the true cause: no server is listed, or all rest.
    @Test
    void aServiceWithoutAnyCapacityIsLeftToPlacement() {
        mRoom = new ServiceRoom(0, 0, 7);
        assertThat(caller("a").mTicket.decide()).isInstanceOf(Admitted.class);
    }

    @Test
    void anAccountOverItsShareIsPutOffWhileOthersAreAdmitted() {
        mUsage.updateFromOthers(
                Map.of(
                        AccountUsage.key("grade", "hot"), 700,
                        AccountUsage.key("grade", "b"), 130,
                        AccountUsage.key("grade", "c"), 140));
        setRoom(95);
        AdmissionDecision hot = caller("hot").mTicket.decide();
        assertThat(((Waits) hot).cause()).isEqualTo(Cause.ACCOUNT_OVER_SHARE);
        // The waiting request of the hot account does not hold others back.
        assertThat(caller("b").mTicket.decide()).isInstanceOf(Admitted.class);
        assertThat(mEvents.lastFields(LogEvent.REQUEST_WAITS))
                .containsAtLeast(
                        EventField.of("account", "hot"),
                        EventField.of("rank", 0),
                        EventField.of("cost", 1.0),
                        EventField.of("capacity", 100.0),
                        EventField.of("occupied", 95.0),
                        EventField.of("ageMs", 7L),
                        EventField.of("accountPlaces", 70.0),
                        EventField.of("accountShare", 68.0),
                        EventField.of("cause", "account-over-share"),
                        EventField.of("waitMs", 500L));
    }

    @Test
    void turnsGoByRankThenAccountThenTimeLeftThenArrival() {
        freePlaces(100);
        setRoom(100);
        mAdmission.start();
        waiting("a1", request("a", 0, 1));
        waiting("a2", request("a", 0, 1));
        waiting("returned", request("a", 0, 1, 9000));
        waiting("b1", request("b", 0, 1));
        Caller urgent = caller("less urgent", request("c", 1, 1));
        urgent.mTicket.decide();
        setRoom(80);
        advance(100);
        assertThat(mOrder).containsExactly("returned", "b1", "a1", "a2", "less urgent").inOrder();
    }

    // Guards against an advantage of callers that ignore their time to return: they have more
    // time left than those who came back when they were told to.
    @Test
    void aCallerThatReturnsEarlyIsBehindOneThatReturnsWhenTold() {
        freePlaces();
        setRoom(100);
        mAdmission.start();
        waiting("early", request("a", 0, 1, 11_900));
        waiting("as told", request("a", 0, 1, 11_000));
        setRoom(90);
        advance(100);
        assertThat(mOrder).containsExactly("as told", "early").inOrder();
    }

    // Guards against small requests that use up what a large one waits for.
    @Test
    void smallRequestsDoNotOvertakeALargeOne() {
        freePlaces();
        setRoom(95);
        mAdmission.start();
        waiting("large", request("a", 0, 8));
        for (int i = 0; i < 3; i++) {
            Caller small = caller("small", request("a", 0, 1));
            assertThat(small.mTicket.decide()).isNotInstanceOf(Admitted.class);
        }
        setRoom(93);
        advance(100);
        assertThat(mOrder).isEmpty();
        setRoom(92);
        advance(100);
        assertThat(mOrder.get(0)).isEqualTo("large");
    }

    // The same while there is room again, until the turns have reached those that wait.
    @Test
    void aNewRequestDoesNotOvertakeWaitingOnesWhenThereIsRoomAgain() {
        freePlaces();
        setRoom(100);
        mAdmission.start();
        waiting("first", request("a", 0, 1));
        advance(10);
        setRoom(10);
        waiting("second", request("a", 0, 1));
        mTimers.runDue();
        assertThat(mOrder).containsExactly("first", "second").inOrder();
    }

    @Test
    void aRequestWaitsUntilItsResponseCouldNotBeginInTime() {
        Caller served = caller("a");
        served.mTicket.onSent();
        advance(200);
        served.mTicket.onResponseBegun();
        advance(800);
        served.mTicket.onResponseWhole();
        served.mTicket.end();
        setRoom(100);
        advance(10);
        Caller caller = caller("a");
        assertThat(((Waits) caller.mTicket.decide()).maxWaitMillis()).isEqualTo(300);
        advance(300);
        assertThat(caller.mRefused.cause()).isEqualTo(Cause.WAIT_OVER);
        // A second must be left for the response itself.
        Caller late = caller("late", request("a", 0, 1, 1100));
        assertThat(((Waits) late.mTicket.decide()).maxWaitMillis()).isEqualTo(100);
        late.mTicket.end();
        Caller tooLate = caller("too late", request("a", 0, 1, 1000));
        assertThat(tooLate.mTicket.decide()).isInstanceOf(Refused.class);
    }

    // A request that cannot be served is refused at once: 5 places per second become free.
    @Test
    void aRequestIsRefusedAtOnceIfThePlacesBeforeItAreNotFreeInTime() {
        freePlaces();
        setRoom(100);
        for (int i = 0; i < 3; i++) {
            waiting("a", request("a", 0, 1));
        }
        assertThat(caller("a").mTicket.decide()).isInstanceOf(Refused.class);
        // One that goes before them may wait.
        waiting("b", request("b", 0, 1, 2000));
    }

    // Guards against refusing an account because of the many requests of another one.
    @Test
    void theRequestsOfOneAccountCountAsManyAsThoseOfTheOtherBeforeIt() {
        freePlaces(20);
        setRoom(100);
        for (int i = 0; i < 5; i++) {
            waiting("a", request("a", 0, 1));
        }
        assertThat(caller("a").mTicket.decide()).isInstanceOf(Waits.class);
        assertThat(caller("a").mTicket.decide()).isInstanceOf(Refused.class);
        waiting("b", request("b", 0, 1));
        waiting("b", request("b", 0, 1));
    }

    @Test
    void theTimeToReturnIsThatInWhichTheBacklogBecomesFree() {
        freePlaces();
        setRoom(100);
        for (int i = 0; i < 3; i++) {
            waiting("a", request("a", 0, 1));
        }
        Refused refused = (Refused) caller("a").mTicket.decide();
        // 4 places, 5 per second.
        assertThat(refused.retryAfterMillis()).isIn(Range.closed(600L, 1000L));
        // At most a third of the time that is left, so that the caller can return twice.
        mAdmission.beginStop();
        Refused hurried = (Refused) caller("a", request("a", 0, 1, 1500)).mTicket.decide();
        assertThat(hurried.retryAfterMillis()).isIn(Range.closed(375L, 625L));
    }

    // Guards against callers that are refused at one instant and return at one instant.
    @Test
    void callersRefusedAtOneInstantReturnSpreadOverTime() {
        freePlaces();
        setRoom(100);
        mAdmission.beginStop();
        Map<Long, Integer> returns = new TreeMap<>();
        for (int i = 0; i < 500; i++) {
            Refused refused = (Refused) caller("a").mTicket.decide();
            returns.merge(refused.retryAfterMillis() / 100, 1, Integer::sum);
        }
        returns.values().forEach(count -> assertThat(count).isAtMost(100));
    }

    @Test
    void aQueueWhoseCallersLeaveIsEmptyAndHoldsNobodyBack() {
        freePlaces();
        setRoom(100);
        mAdmission.start();
        List<Caller> left =
                List.of(waiting("x", request("a", 0, 1)), waiting("y", request("a", 0, 1)));
        Caller last = waiting("last", request("a", 0, 1));
        left.forEach(caller -> caller.mTicket.end());
        setRoom(99);
        advance(100);
        assertThat(mOrder).containsExactly("last");
        last.mTicket.end();
        assertThat(mAdmission.queue().waiting("grade").toList()).isEmpty();
        assertThat(mUsage.ownPlaces("grade")).isEmpty();
        assertThat(left.get(0).mAdmitted).isFalse();
    }

    @Test
    void theQueueHoldsNoMoreThanItsBound() {
        // Enough becomes free that all may wait.
        setRoom(0);
        Caller served = caller("early", request("early", 0, 5000));
        served.mTicket.onSent();
        served.mTicket.end();
        advance(20);
        setRoom(100);
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < 512; i++) {
            callers.add(waiting("a", request("a", 1, 1)));
        }
        Caller urgent = waiting("b", request("b", 0, 1));
        assertThat(urgent.mTicket.waiting()).isTrue();
        assertThat(mAdmission.queue().waiting("grade").toList()).hasSize(512);
        assertThat(callers.get(511).mRefused.retryAfterMillis()).isGreaterThan(0);
        assertThat(callers.get(511).mRefused.cause()).isEqualTo(Cause.QUEUE_FULL);
    }

    @Test
    void everyDecisionIsCounted() {
        caller("a").mTicket.decide();
        Caller sent = caller("a");
        sent.mTicket.decide();
        sent.mTicket.onSent();
        setRoom(100);
        advance(10);
        waiting("a", request("a", 2, 1));
        mAdmission.beginStop();
        caller("a").mTicket.decide();
        Map<String, Double> counts = new TreeMap<>();
        for (MetricSnapshot snapshot : mRegistry.scrape()) {
            if (snapshot instanceof CounterSnapshot counter) {
                counter.getDataPoints()
                        .forEach(
                                point ->
                                        counts.put(
                                                point.getLabels().get("rank")
                                                        + ' '
                                                        + point.getLabels().get("decision"),
                                                point.getValue()));
            }
        }
        assertThat(counts).containsExactly("0 admitted", 1.0, "2 waits", 1.0, "0 refused", 1.0);
    }

    @Test
    void theLogTellsOncePerSecondWhetherRoomIsWanted() {
        mAdmission.start();
        caller("a").mTicket.decide();
        for (int i = 0; i < 20; i++) {
            setRoom(i % 2 == 0 ? 100 : 10);
            advance(100);
        }
        setRoom(10);
        advance(1000);
        assertThat(mEvents.logged())
                .containsAtLeast(LogEvent.ROOM_WANTED, LogEvent.ROOM_REGAINED)
                .inOrder();
        assertThat(mEvents.logged().size()).isAtMost(4);
    }
}
