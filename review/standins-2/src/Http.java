import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Reads and writes HTTP/1.1 messages on plain sockets, for the stand-ins. */
final class Http {
    private static final int MAX_HEAD_BYTES = 262_144;

    private Http() {}

    /**
     * A message with a whole body.
     *
     * @param startLine the request line or the status line
     * @param headers the header lines, as sent
     * @param body the body without its framing
     */
    record Message(String startLine, List<String> headers, byte[] body) {
        String header(String name) {
            String prefix = name.toLowerCase(Locale.ROOT) + ":";
            for (String line : headers) {
                if (line.toLowerCase(Locale.ROOT).startsWith(prefix)) {
                    return line.substring(prefix.length()).strip();
                }
            }
            return "";
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a head; returns null if the input ends before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int state = 0;
        while (state < 4) {
            int b = in.read();
            if (b < 0) {
                if (head.size() == 0) {
                    return null;
                }
                throw new EOFException("the input ends within a head");
            }
            if (head.size() == 0 && (b == '\r' || b == '\n')) {
                continue;
            }
            head.write(b);
            if (head.size() > MAX_HEAD_BYTES) {
                throw new IOException("the head is too long");
            }
            boolean expected = state % 2 == 0 ? b == '\r' : b == '\n';
            state = expected ? state + 1 : b == '\r' ? 1 : 0;
        }
        String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        List<String> headers = new ArrayList<>(List.of(lines));
        headers.remove(0);
        return new Message(lines[0], headers, new byte[0]);
    }

    /** Reads a message with its body; one without a length has none if it is a request. */
    static Message read(InputStream in) throws IOException {
        Message head = readHead(in);
        return head == null ? null : new Message(head.startLine(), head.headers(), body(head, in));
    }

    private static byte[] body(Message head, InputStream in) throws IOException {
        if (head.header("transfer-encoding").toLowerCase(Locale.ROOT).contains("chunked")) {
            return chunks(in);
        }
        String length = head.header("content-length");
        if (!length.isEmpty()) {
            return exactly(in, Integer.parseInt(length));
        }
        boolean answer = head.startLine().startsWith("HTTP/");
        boolean bodiless = answer && (head.status() / 100 == 1 || head.status() == 204);
        return answer && !bodiless ? in.readAllBytes() : new byte[0];
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the input ends within a body");
        }
        return bytes;
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
            if (size == 0) {
                while (!line(in).isEmpty()) {
                    // Trailers are of no interest.
                }
                return body.toByteArray();
            }
            body.write(exactly(in, size));
            line(in);
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("the input ends within a line");
            }
            if (b != '\r') {
                line.append((char) b);
            }
        }
        return line.toString();
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in);
    }
}
