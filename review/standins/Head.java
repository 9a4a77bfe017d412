package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The first line and the header fields of an HTTP message.
 *
 * @param first the request line or status line
 * @param fields the header fields by name in lower case
 */
record Head(String first, Map<String, String> fields) {
    private static final int MAX_BYTES = 65_536;

    /** Reads a head; empty if the stream ends before it begins. */
    static Optional<Head> read(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int last = 0;
        while (last != 0x0d0a0d0a) {
            int next = in.read();
            if (next < 0) {
                if (bytes.size() == 0) {
                    return Optional.empty();
                }
                throw new EOFException("the head breaks off");
            }
            bytes.write(next);
            last = last << 8 | next;
            if (bytes.size() > MAX_BYTES) {
                throw new IOException("the head is too long");
            }
        }
        String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        return Optional.of(
                new Head(
                        lines[0],
                        Arrays.stream(lines)
                                .skip(1)
                                .map(line -> line.split(":", 2))
                                .filter(pair -> pair.length == 2)
                                .collect(
                                        Collectors.toMap(
                                                pair -> pair[0].toLowerCase(Locale.ROOT),
                                                pair -> pair[1].strip(),
                                                (first, second) -> second))));
    }

    String field(String name) {
        return fields.getOrDefault(name, "");
    }

    int status() {
        return Integer.parseInt(first.split(" ")[1]);
    }

    String target() {
        return first.split(" ")[1];
    }
}
