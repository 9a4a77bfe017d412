package io.rhubarbward.crash;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.testing.RecordingEvents;
import io.rhubarbward.timer.VirtualTimerService;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class CrashSuspectsTest {
    private static final String SERVICE = "chat";

    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final CrashSuspects mSuspects = suspects();

    private CrashSuspects suspects() {
        CrashSuspects suspects = new CrashSuspects(mTimers, new RecordingEvents());
        suspects.start();
        return suspects;
    }

    private static List<Long> traits(String... parts) {
        return RequestTraits.of(List.of(parts), "/chat", "acme", ByteBuffer.allocate(0));
    }

    private void crash(CrashSuspects suspects, int server, String... parts) {
        suspects.recordCrash(traits(parts), SERVICE, server, 40);
        mTimers.advance(Duration.ofSeconds(1));
    }

    @Test
    void aTraitIsBlockedForAWhileAndThenAfterOneMoreCrash() {
        for (int server = 0; server < 3; server++) {
            crash(mSuspects, server, "sys-" + server, "bad");
        }
        assertThat(mSuspects.blockedMillis(traits("sys-9", "bad"))).isGreaterThan(0);
        mTimers.advance(CrashSuspects.BLOCK_TIME);
        assertThat(mSuspects.blockedMillis(traits("sys-9", "bad"))).isEqualTo(0);
        crash(mSuspects, 3, "sys-9", "bad");
        assertThat(mSuspects.blockedMillis(traits("sys-9", "bad"))).isGreaterThan(0);
    }

    // Guards against hashing each request's body as long as the process lives.
    @Test
    void whatIsForgottenNoLongerCosts() {
        for (int server = 0; server < 3; server++) {
            crash(mSuspects, server, "sys-" + server, "bad");
        }
        assertThat(mSuspects.blocksNone()).isFalse();
        mTimers.advance(CrashSuspects.MEMORY_TIME.plusMinutes(1));
        assertThat(mSuspects.empty()).isTrue();
        assertThat(mSuspects.blocksNone()).isTrue();
        assertThat(mSuspects.digest()).isEqualTo(0);
    }

    @Test
    void answersOutweighCrashes() {
        for (int server = 0; server < 4; server++) {
            crash(mSuspects, server, "sys-" + server, "hot");
            for (int answer = 0; answer < 4; answer++) {
                mSuspects.recordAnswer(traits("hot"), SERVICE, "q-" + server + "-" + answer);
            }
        }
        assertThat(mSuspects.blockedMillis(traits("hot"))).isEqualTo(0);
    }

    private void crashTogether(int servers, String... parts) {
        for (int server = 0; server < servers; server++) {
            mSuspects.recordCrash(traits(parts), SERVICE, server, 0);
        }
    }

    /** Answers requests of a service for some seconds, ten a second. */
    private void answer(int seconds, String service, String part) {
        for (int answer = 0; answer < 10 * seconds; answer++) {
            mTimers.advance(Duration.ofMillis(100));
            mSuspects.recordAnswer(traits(part), service, part + "-" + answer);
        }
    }

    private boolean blocks(String part) {
        return mSuspects.blockedMillis(traits(part)) > 0;
    }

    // Guards against counting the crashes of several servers within 100 ms as one crash.
    @Test
    void serversThatCrashAtTheSameTimeCountEachIfOnlyOtherRequestsAreAnsweredAfterwards() {
        crashTogether(5, "bad");
        assertThat(blocks("bad")).isFalse();
        answer(3, SERVICE, "sys");
        assertThat(blocks("bad")).isTrue();
        assertThat(blocks("sys")).isFalse();
    }

    @Test
    void requestsLostAtOneServerAreOneCrash() {
        for (int request = 0; request < 20; request++) {
            mSuspects.recordCrash(traits("bad"), SERVICE, request % 4, 0);
        }
        answer(3, SERVICE, "sys");
        assertThat(blocks("bad")).isFalse();
    }

    // The loss of a whole service must not block what was in flight there.
    @Test
    void answersOfOtherServicesSayNothingOfServersThatAreLostTogether() {
        crashTogether(12, "common");
        answer(5, "other", "sys");
        assertThat(blocks("common")).isFalse();
    }

    @Test
    void aPartThatIsAnsweredDidNotCrashTheServersThatAreLostTogether() {
        crashTogether(5, "common");
        answer(1, SERVICE, "common");
        answer(5, SERVICE, "sys");
        assertThat(blocks("common")).isFalse();
    }

    @Test
    void aPartOfTheFewerServersDidNotCrashAllThatAreLostTogether() {
        crashTogether(5, "rare");
        for (int server = 10; server < 15; server++) {
            mSuspects.recordCrash(traits("sys-" + server), SERVICE, server, 0);
        }
        answer(5, SERVICE, "sys");
        assertThat(blocks("rare")).isFalse();
    }

    // A router whose own links broke has no answers to judge by; others tell it what they saw.
    @Test
    void onlyARouterThatLostRequestsJudgesServersThatAreLostTogether() {
        CrashSuspects source = suspects();
        List<CrashSuspect> observations = new ArrayList<>();
        source.subscribe((changed, crashed) -> observations.addAll(changed));
        for (int server = 0; server < 5; server++) {
            source.recordCrash(traits("bad"), SERVICE, server, 0);
        }
        mSuspects.merge(observations);
        answer(5, SERVICE, "sys");
        assertThat(blocks("bad")).isFalse();
        for (int answer = 0; answer < 30; answer++) {
            mTimers.advance(Duration.ofMillis(100));
            source.recordAnswer(traits("sys"), SERVICE, "q-" + answer);
        }
        mSuspects.merge(observations);
        assertThat(blocks("bad")).isTrue();
        long part = traits("bad").get(0);
        assertThat(mSuspects.find(part)).isEqualTo(source.find(part));
    }

    @Test
    void aCallerWhoInventsPartsTakesBoundedMemory() {
        for (int request = 0; request < 2000; request++) {
            mSuspects.recordCrash(
                    traits("invented-" + request, "other-" + request), SERVICE, request, 40);
        }
        assertThat(mSuspects.all().size()).isAtMost(256);
    }

    // Routers get the same observations in other orders, more than once, some by way of others.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void theOrderOfObservationsMakesNoDifference(long seed) {
        List<CrashSuspect> observations = new ArrayList<>();
        CrashSuspects source = suspects();
        source.subscribe((changed, crashed) -> observations.addAll(changed));
        for (int server = 0; server < 4; server++) {
            crash(source, server, "sys-1", "bad");
            source.recordAnswer(traits("sys-1", "doc"), SERVICE, "q-" + server);
        }
        observations.addAll(List.copyOf(observations));
        Collections.shuffle(observations, new Random(seed));
        observations.forEach(observation -> mSuspects.merge(List.of(observation)));
        assertThat(mSuspects.digest()).isEqualTo(source.digest());
        assertThat(mSuspects.blockedMillis(traits("sys-1", "bad"))).isGreaterThan(0);
        assertThat(mSuspects.blockedMillis(traits("sys-1", "doc"))).isEqualTo(0);
    }
}
