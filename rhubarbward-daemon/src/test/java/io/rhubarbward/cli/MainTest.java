package io.rhubarbward.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class MainTest {
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();

    @Test
    void validSettingsFilesPassTheCheck() {
        assertThat(
                        run(
                                "config",
                                "check",
                                "--base",
                                "../examples/base.json",
                                "--overlay",
                                "lima=../examples/lima.json"))
                .isEqualTo(ExitCode.OK);
    }

    @Test
    void anInvalidSettingIsReportedWithFileLineAndColumn(@TempDir Path folder) throws IOException {
        Path overlay = folder.resolve("broken.json");
        Files.writeString(overlay, "{\n  \"drain\": {\"noticeMillis\": -1}\n}");
        ExitCode code =
                run(
                        "config",
                        "check",
                        "--base",
                        "../examples/base.json",
                        "--overlay",
                        "lima=" + overlay);
        assertThat(code).isEqualTo(ExitCode.INVALID_SETTINGS);
        assertThat(mErr.toString(StandardCharsets.UTF_8))
                .contains("broken.json:2:29: drain.noticeMillis: -1: expected from 0 to 120000");
    }

    @Test
    void anInvalidCommandLineExitsWithUsage() {
        assertThat(run("config", "check")).isEqualTo(ExitCode.USAGE);
        assertThat(run("nothing")).isEqualTo(ExitCode.USAGE);
        assertThat(run()).isEqualTo(ExitCode.USAGE);
    }

    @Test
    void aMissingSettingsFileOfARouterIsReported() {
        assertThat(run("router", "--settings", "nowhere.json"))
                .isEqualTo(ExitCode.INVALID_SETTINGS);
        assertThat(mErr.toString(StandardCharsets.UTF_8)).contains("nowhere.json: cannot be read");
    }

    @Test
    void aDumpOfARouterThatDoesNotListenExitsWithUnreachable() {
        assertThat(run("dump", "--router", "127.0.0.1:1")).isEqualTo(ExitCode.UNREACHABLE);
    }

    /** The log is from a run in which two servers, one after the other, failed the same request. */
    @Test
    void explainPrintsTheEventsOfARequestAndItsContextInOrder() {
        String id = "259d52188402ef16";
        assertThat(run("explain", id, "--log", "src/test/resources/explain.log"))
                .isEqualTo(ExitCode.OK);
        List<String> lines = mOut.toString(StandardCharsets.UTF_8).lines().toList();
        assertThat(lines).hasSize(4);
        assertThat(lines.get(0)).contains("~ front-lima-sur-3 data-centre-emptied name=lima-sur");
        assertThat(lines.get(1)).contains("+0 ms   front-lima-sur-3 request-sent");
        assertThat(lines.get(2)).contains("server=i-7ddbd6d069");
        assertThat(lines.get(3)).contains("outcome=answered-500");
        assertThat(lines.stream().filter(line -> line.contains("i-b138d538ae")).toList()).isEmpty();
    }

    @Test
    void explainSaysWhyARequestWasPutOff() {
        assertThat(run("explain", "r-1", "--log", "src/test/resources/explain-put-off.log"))
                .isEqualTo(ExitCode.OK);
        List<String> lines = mOut.toString(StandardCharsets.UTF_8).lines().toList();
        assertThat(lines).hasSize(6);
        assertThat(lines.get(0)).contains("~ front-1 room-wanted service=grade");
        assertThat(lines.get(4))
                .isEqualTo(
                        "waited for at most 300 ms: 281.0 of 288.0 places were occupied 120 ms"
                                + " before; account hot used 70.0 places, its share was 68.0, and"
                                + " the request takes 1.0");
        assertThat(lines.get(5))
                .isEqualTo(
                        "refused, to return after 900 ms: 285.0 of 288.0 places were occupied 90"
                                + " ms before; no turn came in that time");
    }

    @Test
    void explainReportsAnUnknownIdAndAMissingLog() {
        assertThat(run("explain", "nobody", "--log", "src/test/resources/explain.log"))
                .isEqualTo(ExitCode.USAGE);
        assertThat(mErr.toString(StandardCharsets.UTF_8)).contains("id nobody: none of 9");
        assertThat(run("explain", "nobody", "--log", "nowhere.log")).isEqualTo(ExitCode.USAGE);
    }

    private ExitCode run(String... arguments) {
        Console console =
                new Console(
                        new PrintStream(mOut, true, StandardCharsets.UTF_8),
                        new PrintStream(mErr, true, StandardCharsets.UTF_8));
        return Main.run(console, arguments);
    }
}
