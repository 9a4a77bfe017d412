package io.rhubarbward.net.backend;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import org.jspecify.annotations.Nullable;

/**
 * A server that hands each request to the test, which may respond or close the connection. It reads
 * a body only if the test does.
 */
final class ScriptedServer implements AutoCloseable {
    /** Small, so that a long body cannot be written before the server reads it. */
    private static final int RECEIVE_BUFFER_BYTES = 16_384;

    private static final String CONTENT_LENGTH = "content-length:";

    private final ServerSocket mServerSocket = new ServerSocket();
    private final List<Socket> mSockets = new CopyOnWriteArrayList<>();
    private final BlockingQueue<PendingRequest> mPendingRequests = new LinkedBlockingQueue<>();

    ScriptedServer() throws IOException {
        mServerSocket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        mServerSocket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        startThread(this::acceptConnections);
    }

    String address() {
        return "127.0.0.1:" + mServerSocket.getLocalPort();
    }

    /** Waits for the next request on any connection. */
    PendingRequest takeRequest() throws InterruptedException {
        return mPendingRequests.take();
    }

    int connectionCount() {
        return mSockets.size();
    }

    private void acceptConnections() throws IOException {
        while (true) {
            Socket socket = mServerSocket.accept();
            mSockets.add(socket);
            startThread(() -> readRequests(socket));
        }
    }

    private void readRequests(Socket socket) throws IOException, InterruptedException {
        InputStream in = socket.getInputStream();
        Semaphore bodyRead = new Semaphore(0);
        int bodyBytes = 0;
        for (String line = readLine(in); line != null; line = readLine(in)) {
            String lowerCase = line.toLowerCase(Locale.ROOT);
            if (lowerCase.startsWith(CONTENT_LENGTH)) {
                bodyBytes = Integer.parseInt(line.substring(CONTENT_LENGTH.length()).trim());
            }
            if (line.isEmpty()) {
                mPendingRequests.add(new PendingRequest(socket, bodyBytes, bodyRead));
                if (bodyBytes > 0) {
                    bodyRead.acquire();
                }
                bodyBytes = 0;
            }
        }
    }

    /** Returns the next line without its end; null at the end of the connection. */
    private static @Nullable String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int value = in.read(); value != '\n'; value = in.read()) {
            if (value < 0) {
                return null;
            }
            if (value != '\r') {
                line.write(value);
            }
        }
        return line.toString(StandardCharsets.US_ASCII);
    }

    private static void startThread(IoTask task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (SocketException e) {
                                // The test closed the socket.
                                return;
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            } catch (IOException e) {
                                throw new UncheckedIOException(e);
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        mServerSocket.close();
        for (Socket socket : mSockets) {
            socket.close();
        }
    }

    /**
     * A request that awaits its response.
     *
     * @param socket its connection
     * @param bodyBytes the length of its body, which is not read yet
     * @param bodyRead gets a permit once the body is read, so that the next request can be
     */
    record PendingRequest(Socket socket, int bodyBytes, Semaphore bodyRead) {
        /** Reads the body. */
        void readBody() throws IOException {
            byte[] part = new byte[65_536];
            int left = bodyBytes;
            while (left > 0) {
                int count = socket.getInputStream().read(part, 0, Math.min(left, part.length));
                if (count < 0) {
                    throw new EOFException(left + " bytes of the body are missing");
                }
                left -= count;
            }
            bodyRead.release();
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        void respond(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
        }

        void closeConnection() throws IOException {
            socket.close();
        }
    }

    /** The work of a thread. */
    private interface IoTask {
        void run() throws IOException, InterruptedException;
    }
}
