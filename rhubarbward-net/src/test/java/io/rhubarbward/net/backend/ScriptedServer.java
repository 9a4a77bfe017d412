package io.rhubarbward.net.backend;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;

/** A server that hands each request to the test, which may respond or close the connection. */
final class ScriptedServer implements AutoCloseable {
    private final ServerSocket mServerSocket;
    private final List<Socket> mSockets = new CopyOnWriteArrayList<>();
    private final BlockingQueue<PendingRequest> mPendingRequests = new LinkedBlockingQueue<>();

    ScriptedServer() throws IOException {
        mServerSocket = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
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

    private void readRequests(Socket socket) throws IOException {
        BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            if (line.isEmpty()) {
                mPendingRequests.add(new PendingRequest(socket));
            }
        }
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

    /** A request without a body that awaits its response. */
    record PendingRequest(Socket socket) {
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
        void run() throws IOException;
    }
}
