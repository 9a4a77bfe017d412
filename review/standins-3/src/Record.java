import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What was sent, answered and run, with the milliseconds since the start. */
final class Record {
    private static final long START_NANOS = System.nanoTime();

    private final List<String> mLines = new ArrayList<>();

    /** Returns the milliseconds since the start. */
    static long now() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    synchronized void add(String line) {
        mLines.add(String.format(Locale.ROOT, "%7d %s", now(), line));
    }

    synchronized void write(Path file) {
        try {
            Files.write(file, mLines);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
