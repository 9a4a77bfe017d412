import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** One HTTP/1.1 message: its first line, its header fields and its body. */
final class HttpMessage {
    final String firstLine;
    final Map<String, String> headers;
    final byte[] body;

    private HttpMessage(String firstLine, Map<String, String> headers, byte[] body) {
        this.firstLine = firstLine;
        this.headers = headers;
        this.body = body;
    }

    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    /** Returns the method of a request. */
    String method() {
        return firstLine.split(" ")[0];
    }

    /** Returns the target of a request. */
    String target() {
        return firstLine.split(" ")[1];
    }

    /** Returns the status of a response. */
    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    /** Reads one request; returns null if the connection ends before it begins. */
    static HttpMessage readRequest(InputStream in) throws IOException {
        return read(in, false);
    }

    /** Reads one response; a body without a length ends with the connection. */
    static HttpMessage readResponse(InputStream in) throws IOException {
        HttpMessage response = read(in, true);
        if (response == null) {
            throw new EOFException("the connection ended before the response");
        }
        return response;
    }

    private static HttpMessage read(InputStream in, boolean response) throws IOException {
        String first = line(in);
        while (first != null && first.isEmpty()) {
            first = line(in);
        }
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line == null || !line.isEmpty(); line = line(in)) {
            if (line == null) {
                throw new EOFException("the connection ended within a head");
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return new HttpMessage(first, headers, body(in, first, headers, response));
    }

    private static byte[] body(
            InputStream in, String first, Map<String, String> headers, boolean response)
            throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
            return chunks(in);
        }
        if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            byte[] body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException("the connection ended within a body");
            }
            return body;
        }
        return response && !first.contains(" 204 ") ? in.readAllBytes() : new byte[0];
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = line(in);
            if (size == null) {
                throw new EOFException("the connection ended within a chunked body");
            }
            int length = Integer.parseInt(size.split(";")[0].trim(), 16);
            byte[] chunk = in.readNBytes(length);
            if (chunk.length < length || line(in) == null) {
                throw new EOFException("the connection ended within a chunk");
            }
            if (length == 0) {
                return body.toByteArray();
            }
            body.write(chunk);
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        for (; next >= 0 && next != '\n'; next = in.read()) {
            line.write(next);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    /** Returns the bytes of a message with a Content-Length. */
    static byte[] bytes(String firstLine, List<String> headers, byte[] body) {
        List<String> lines = new ArrayList<>();
        lines.add(firstLine);
        lines.addAll(headers);
        lines.add("Content-Length: " + body.length);
        byte[] head =
                (String.join("\r\n", lines) + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = new byte[head.length + body.length];
        System.arraycopy(head, 0, message, 0, head.length);
        System.arraycopy(body, 0, message, head.length, body.length);
        return message;
    }
}
