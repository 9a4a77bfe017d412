package io.rhubarbward.cli;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.standin.PlatformStandin;
import io.rhubarbward.timer.SystemTimerService;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class MoveCommandTest {
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();
    private final EventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final SystemTimerService mTimers = new SystemTimerService("test", EventLog.none());
    private final PlatformStandin mPlatform =
            new PlatformStandin(mGroup, new InetSocketAddress("127.0.0.1", 0), mTimers);

    @AfterEach
    void close() {
        mPlatform.close();
        mTimers.close();
        mGroup.shutdownGracefully();
    }

    @Test
    void aStartedRolloutCanBeListedAndShown() {
        assertThat(start("up")).isEqualTo(ExitCode.OK);
        assertThat(run("list")).isEqualTo(ExitCode.OK);
        assertThat(run("show", "up")).isEqualTo(ExitCode.OK);
        assertThat(text(mOut)).contains("up: assistant v1 -> v2, PLANNED");
    }

    @Test
    void waitAndUndoReportThatARolloutWasTakenBack() {
        start("up");
        assertThat(run("undo", "up")).isEqualTo(ExitCode.OK);
        assertThat(run("wait", "up")).isEqualTo(ExitCode.TAKEN_BACK);
        assertThat(run("undo", "up")).isEqualTo(ExitCode.CONFLICT);
    }

    @Test
    void aSecondRolloutOfTheSameServiceIsRefused() {
        start("up");
        assertThat(start("other")).isEqualTo(ExitCode.CONFLICT);
        assertThat(text(mErr)).contains("rollout \"up\" is under way");
    }

    @Test
    void waitExitsWithNotEndedAfterItsLimit() {
        start("up");
        assertThat(run("wait", "up", "--limit-seconds", "0")).isEqualTo(ExitCode.NOT_ENDED);
    }

    @Test
    void waitForAnUnknownRolloutExitsWithPlatform() {
        assertThat(run("wait", "none")).isEqualTo(ExitCode.PLATFORM);
    }

    @Test
    void anInvalidRuleIsQuotedInTheError() {
        assertThat(start("up", "--rule", "/v1/=fast")).isEqualTo(ExitCode.USAGE);
        assertThat(text(mErr)).contains("--rule \"/v1/=fast\"");
    }

    private ExitCode start(String name, String... extraArguments) {
        List<String> arguments =
                new ArrayList<>(
                        List.of(
                                "start",
                                name,
                                "--service",
                                "assistant",
                                "--from",
                                "1",
                                "--to",
                                "2",
                                "--finish-in-minutes",
                                "60"));
        arguments.addAll(List.of(extraArguments));
        return run(arguments.toArray(String[]::new));
    }

    private ExitCode run(String... actionAndArguments) {
        List<String> arguments = new ArrayList<>(List.of("move"));
        arguments.addAll(List.of(actionAndArguments));
        arguments.addAll(List.of("--platform", mPlatform.address()));
        return Main.run(
                new Console(new PrintStream(mOut, true), new PrintStream(mErr, true)),
                arguments.toArray(String[]::new));
    }

    private static String text(ByteArrayOutputStream stream) {
        return stream.toString(StandardCharsets.UTF_8);
    }
}
