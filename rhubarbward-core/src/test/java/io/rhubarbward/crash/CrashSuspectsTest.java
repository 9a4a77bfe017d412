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
        suspects.recordCrash(traits(parts), server, 40);
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
                mSuspects.recordAnswer(traits("hot"), "q-" + server + "-" + answer);
            }
        }
        assertThat(mSuspects.blockedMillis(traits("hot"))).isEqualTo(0);
    }

    @Test
    void aCallerWhoInventsPartsTakesBoundedMemory() {
        for (int request = 0; request < 2000; request++) {
            mSuspects.recordCrash(traits("invented-" + request, "other-" + request), request, 40);
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
            source.recordAnswer(traits("sys-1", "doc"), "q-" + server);
        }
        observations.addAll(List.copyOf(observations));
        Collections.shuffle(observations, new Random(seed));
        observations.forEach(observation -> mSuspects.merge(List.of(observation)));
        assertThat(mSuspects.digest()).isEqualTo(source.digest());
        assertThat(mSuspects.blockedMillis(traits("sys-1", "bad"))).isGreaterThan(0);
        assertThat(mSuspects.blockedMillis(traits("sys-1", "doc"))).isEqualTo(0);
    }
}
