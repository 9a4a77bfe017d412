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

/** A server that hands each request's connection to the test, which answers by hand or not. */
final class ScriptedServer implements AutoCloseable {
    private final ServerSocket mServer;
    private final List<Socket> mSockets = new CopyOnWriteArrayList<>();
    private final BlockingQueue<Taken> mTaken = new LinkedBlockingQueue<>();

    ScriptedServer() throws IOException {
        mServer = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + mServer.getLocalPort();
    }

    /** Waits for the next request on any connection. */
    Taken take() throws InterruptedException {
        return mTaken.take();
    }

    int connections() {
        return mSockets.size();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = mServer.accept();
            mSockets.add(socket);
            start(() -> read(socket));
        }
    }

    private void read(Socket socket) throws IOException {
        BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            if (line.isEmpty()) {
                mTaken.add(new Taken(socket));
            }
        }
    }

    private static void start(Step step) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                step.run();
                            } catch (SocketException e) {
                                // The test is over and has closed the socket.
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
        mServer.close();
        for (Socket socket : mSockets) {
            socket.close();
        }
    }

    /** A request without a body that waits for its answer. */
    record Taken(Socket socket) {
        void answer(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
        }

        void hangUp() throws IOException {
            socket.close();
        }
    }

    /** A thread's work. */
    private interface Step {
        void run() throws IOException;
    }
}
