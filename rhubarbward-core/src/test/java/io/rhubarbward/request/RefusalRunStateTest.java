package io.rhubarbward.request;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.testing.FakeBackends.Sent;
import io.rhubarbward.testing.RecordingResponse;
import io.rhubarbward.testing.Site;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a refusal has the run state "not-run" only if the request certainly did not run. */
final class RefusalRunStateTest {
    private static final Pattern TABLE_ROW =
            Pattern.compile("^\\| `([a-z-]+)` \\| (\\d{3}) \\| ([a-z -]+) \\|", Pattern.MULTILINE);

    private final Site mSite = Site.start(1);
    private final RecordingResponse mResponse = new RecordingResponse();

    @Test
    void runStateIsUnknownAfterALostAnswerAndUnreachableServers() {
        serve(Site.chat("lost-then-unreachable"));
        fail(BackendFailure.CONNECTION_LOST);
        fail(BackendFailure.NOT_CONNECTED);
        fail(BackendFailure.NOT_CONNECTED);
        assertThat(mResponse.body()).contains("\"run\":\"unknown\"");
    }

    /** Guards against a broken status that reaches the caller, or that says "not run". */
    @ParameterizedTest
    @ValueSource(ints = {0, 99, 100, 101, 199, 600, 999})
    void runStateIsUnknownAfterAnswersWithInvalidStatuses(int status) {
        serve(Site.chat("invalid-status"));
        int seen = 0;
        while (seen < mSite.backends().sent().size()) {
            seen = mSite.backends().sent().size();
            Sent call = mSite.backends().last().head(status, "text/event-stream");
            mSite.advance(Duration.ZERO);
            assertThat(call.cancelled()).isTrue();
        }
        assertThat(mResponse.status()).isEqualTo(502);
        assertThat(mResponse.body()).contains("\"run\":\"unknown\"");
    }

    @Test
    void runStateIsUnknownAfterALostAnswerAndFullServers() {
        mSite.apply(
                Site.SETTINGS.replace("\"model\": \"m\"", "\"model\": \"m\", \"concurrency\": 1"));
        mSite.advance(Duration.ofSeconds(3));
        serve(Site.chat("c"));
        Sent call = mSite.backends().last();
        mSite.router(0).serve(Site.chat("a"), new RecordingResponse());
        mSite.router(0).serve(Site.chat("b"), new RecordingResponse());
        mSite.advance(Duration.ZERO);
        call.fail(BackendFailure.CONNECTION_LOST);
        mSite.advance(Duration.ZERO);
        assertThat(mResponse.body()).contains("\"code\":\"overloaded\"");
        assertThat(mResponse.body()).contains("\"run\":\"unknown\"");
    }

    @Test
    void runStateIsUnknownAtTheDeadlineOfASentRequest() {
        serve(Site.chat("slow"));
        mSite.backends().last().head(200, "text/event-stream");
        for (int i = 0; i < 60; i++) {
            mSite.backends().last().part("data: {}\n\n");
            mSite.advance(Duration.ofSeconds(5));
        }
        assertThat(mResponse.body()).contains("deadline-exceeded");
        assertThat(mResponse.body()).contains("\"run\":\"unknown\"");
    }

    @Test
    void deadlineIsNotRunOnlyIfNothingWasSent() {
        assertThat(RefusalCode.DEADLINE_EXCEEDED.runState(false)).isEqualTo(RunState.NOT_RUN);
        assertThat(RefusalCode.DEADLINE_EXCEEDED.runState(true)).isEqualTo(RunState.UNKNOWN);
    }

    @Test
    void noCodeGivesNotRunForARequestThatMayHaveRun() {
        for (RefusalCode code : RefusalCode.values()) {
            assertThat(code.runState(true)).isNotEqualTo(RunState.NOT_RUN);
        }
    }

    @Test
    void callerThatStopsReadingIsDisconnectedAtTheDeadline() {
        CallerListener caller = serve(Site.chat("stuck"));
        mSite.backends().last().head(200, "text/event-stream");
        caller.onWritable(false);
        mSite.advance(Duration.ofMillis(299_999));
        assertThat(mResponse.ended()).isFalse();
        mSite.advance(Duration.ofMillis(1));
        assertThat(mResponse.aborted()).isTrue();
        assertThat(mSite.backends().last().cancelled()).isTrue();
    }

    @Test
    void documentationListsEveryCodeWithItsStatusAndRunStates() throws IOException {
        String document = Files.readString(Path.of("../docs/REFUSALS.md"));
        List<String> listed =
                TABLE_ROW
                        .matcher(document)
                        .results()
                        .map(row -> row.group(1) + " " + row.group(2) + " " + row.group(3))
                        .toList();
        List<String> codes = Arrays.stream(RefusalCode.values()).map(this::expectedRow).toList();
        assertThat(listed).containsExactlyElementsIn(codes);
    }

    private String expectedRow(RefusalCode code) {
        String initially = code.runState(false).label();
        String afterAttempt = code.runState(true).label();
        String states =
                initially.equals(afterAttempt) ? initially : initially + " or " + afterAttempt;
        return code.label() + " " + code.status() + " " + states;
    }

    private CallerListener serve(CallerRequest request) {
        CallerListener listener = mSite.router(0).serve(request, mResponse);
        mSite.advance(Duration.ZERO);
        return listener;
    }

    private void fail(BackendFailure failure) {
        mSite.backends().last().fail(failure);
        mSite.advance(Duration.ZERO);
    }
}
