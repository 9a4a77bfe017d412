package io.rhubarbward.net.peer;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.request.quarantine.Crash;
import io.rhubarbward.request.quarantine.SuspectNotice;
import io.rhubarbward.request.quarantine.SuspectNotices;
import java.util.List;
import org.junit.jupiter.api.Test;

final class SuspectStructsTest {
    @Test
    void noticesSurviveTheRoundTrip() {
        SuspectNotices notices =
                new SuspectNotices(
                        List.of(
                                new SuspectNotice("a", List.of(new Crash("e1", 1, 2)), true),
                                new SuspectNotice("b", List.of(), false)));
        assertThat(SuspectStructs.fromStruct(SuspectStructs.toStruct(notices))).isEqualTo(notices);
    }
}
