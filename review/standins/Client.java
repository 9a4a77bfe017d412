package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A client's connection to a router, for one request after the other. */
final class Client implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;

    private final Socket mSocket = new Socket();
    private final InputStream mIn;

    Client(InetSocketAddress router) throws IOException {
        this(router, 0);
    }

    /** Opens a connection; a window of 0 leaves the receive buffer as it is. */
    Client(InetSocketAddress router, int receiveWindowBytes) throws IOException {
        if (receiveWindowBytes > 0) {
            mSocket.setReceiveBufferSize(receiveWindowBytes);
        }
        mSocket.connect(router, CONNECT_TIMEOUT_MILLIS);
        mSocket.setTcpNoDelay(true);
        mIn = new BufferedInputStream(mSocket.getInputStream(), 4096);
    }

    /** An answer; status 0 stands for a connection that ended without a whole one. */
    record Answer(int status, Map<String, String> fields, byte[] body, String broken) {
        boolean whole() {
            return broken.isEmpty();
        }
    }

    void write(String method, String path, String fields, byte[] body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(head(method, path, fields, body.length));
        bytes.write(body);
        mSocket.getOutputStream().write(bytes.toByteArray());
    }

    private static byte[] head(String method, String path, String fields, int bodyBytes) {
        String head =
                method + " " + path + " HTTP/1.1\r\nHost: " + Cases.HOST + "\r\n" + fields
                        + "Content-Length: " + bodyBytes + "\r\n\r\n";
        return head.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Reads an answer; the pace is the most bytes that are taken in a second, or 0. */
    Answer read(int timeoutMillis, int bytesPerSecond) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        Head head = new Head("", Map.of());
        try {
            mSocket.setSoTimeout(timeoutMillis);
            head = Head.read(mIn).orElseThrow(() -> new EOFException("closed without an answer"));
            if (head.field("transfer-encoding").equals("chunked")) {
                readChunks(body);
            } else {
                readBytes(Integer.parseInt(head.field("content-length")), bytesPerSecond, body);
            }
            return new Answer(head.status(), head.fields(), body.toByteArray(), "");
        } catch (IOException | NumberFormatException e) {
            int status = head.first().isEmpty() ? 0 : head.status();
            return new Answer(status, head.fields(), body.toByteArray(), String.valueOf(e));
        }
    }

    /** Takes whatever comes at the pace of a slow link until the time is over; returns its size. */
    long drain(int timeoutMillis, int bytesPerSecond) throws IOException {
        long start = System.nanoTime();
        byte[] part = new byte[4096];
        long taken = 0;
        mSocket.setSoTimeout(timeoutMillis);
        while (System.nanoTime() - start < 1_000_000L * timeoutMillis) {
            int count = mIn.read(part);
            if (count < 0) {
                return taken;
            }
            taken += count;
            Cases.sleep(
                    1000L * taken / bytesPerSecond - (System.nanoTime() - start) / 1_000_000);
        }
        return taken;
    }

    private void readBytes(int length, int bytesPerSecond, ByteArrayOutputStream body)
            throws IOException {
        long start = System.nanoTime();
        byte[] part = new byte[4096];
        while (body.size() < length) {
            int count = mIn.read(part, 0, Math.min(part.length, length - body.size()));
            if (count < 0) {
                throw new EOFException("broke off after " + body.size() + " of " + length);
            }
            body.write(part, 0, count);
            if (bytesPerSecond > 0) {
                long dueMillis = 1000L * body.size() / bytesPerSecond;
                Cases.sleep(dueMillis - (System.nanoTime() - start) / 1_000_000);
            }
        }
    }

    private void readChunks(ByteArrayOutputStream body) throws IOException {
        int length = Integer.parseInt(line(), 16);
        while (length > 0) {
            readBytes(body.size() + length, 0, body);
            line();
            length = Integer.parseInt(line(), 16);
        }
        line();
    }

    private String line() throws IOException {
        StringBuilder text = new StringBuilder();
        for (int next = mIn.read(); next != '\n'; next = mIn.read()) {
            if (next < 0) {
                throw new EOFException("the chunks break off");
            }
            text.append((char) next);
        }
        return text.toString().strip();
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
