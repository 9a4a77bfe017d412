import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Writes to a file what was sent, answered and run, with times in milliseconds from its start. */
final class Record implements AutoCloseable {
    private final long mStartNanos = System.nanoTime();
    private final PrintWriter mOut;
    private final Map<String, List<String>> mRuns = new HashMap<>();

    Record(Path file) throws IOException {
        mOut = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
    }

    long millis() {
        return (System.nanoTime() - mStartNanos) / 1_000_000;
    }

    synchronized void line(String text) {
        mOut.println(String.format("%7d  %s", millis(), text));
        mOut.flush();
    }

    synchronized void ran(String id, String replica, String startLine) {
        mRuns.computeIfAbsent(id, ignored -> new ArrayList<>()).add(replica);
        line("run " + id + " at " + replica + ": " + startLine);
    }

    synchronized List<String> runs(String id) {
        return List.copyOf(mRuns.getOrDefault(id, List.of()));
    }

    @Override
    public void close() {
        mOut.close();
    }
}
