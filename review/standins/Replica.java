package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in for one replica of a service; a behaviour decides how it serves its requests. */
final class Replica implements AutoCloseable {
    private final String mId;
    private final String mService;
    private final String mZone;
    private final Behaviour mBehaviour;
    private final Set<Socket> mConnections = ConcurrentHashMap.newKeySet();
    private final int mPort;
    private final String mHost;
    private volatile ServerSocket mListener;
    private volatile long mBornMillis = System.currentTimeMillis();

    /** Serves the requests that are meant for a replica. */
    @FunctionalInterface
    interface Behaviour {
        /** Serves one request; an exception ends its connection. */
        void serve(Replica replica, Head request, byte[] body, OutputStream out)
                throws IOException;
    }

    Replica(String id, String service, String zone, String host, Behaviour behaviour)
            throws IOException {
        mId = id;
        mService = service;
        mZone = zone;
        mHost = host;
        mBehaviour = behaviour;
        mListener = new ServerSocket(0, 1024, InetAddress.getByName(host));
        mPort = mListener.getLocalPort();
        startAccepting(mListener);
    }

    String id() {
        return mId;
    }

    /** Returns the replica's entry in the store. */
    String entry(String state, int slots) {
        return """
               {"service":"%s","address":"%s:%d","zone":"%s","version":"v1","slots":%d,
                "state":"%s","coldRemainingMs":0,"sequence":1,"born":%d}"""
                .formatted(mService, mHost, mPort, mZone, slots, state, mBornMillis);
    }

    private void startAccepting(ServerSocket listener) {
        start(
                () -> {
                    while (!listener.isClosed()) {
                        Socket socket = listener.accept();
                        socket.setTcpNoDelay(true);
                        mConnections.add(socket);
                        start(() -> serve(socket));
                    }
                });
    }

    private interface Task {
        void run() throws IOException;
    }

    private static void start(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                // The connection or the listener has ended.
                            }
                        },
                        "replica");
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (var head = Head.read(in); head.isPresent(); head = Head.read(in)) {
                String length = head.get().field("content-length");
                byte[] body = in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
                String expected = head.get().field("rhubarbward-expect-instance");
                if (!expected.isEmpty() && !expected.equals(mId)) {
                    answer(head.get(), 421, "", new byte[0], out);
                } else {
                    mBehaviour.serve(this, head.get(), body, out);
                }
            }
        } finally {
            mConnections.remove(socket);
        }
    }

    /** Writes a whole answer with the replica's seal. */
    static void answer(Head request, int status, String fields, byte[] body, OutputStream out)
            throws IOException {
        out.write(head(request, status, fields + "Content-Length: " + body.length + "\r\n"));
        out.write(body);
        out.flush();
    }

    /** Returns the head of an answer, with further header fields. */
    static byte[] head(Head request, int status, String fields) {
        String text =
                "HTTP/1.1 %d Answer\r\nRhubarbward-Attempt-Id: %s\r\n%s%s\r\n"
                        .formatted(
                                status,
                                request.field("rhubarbward-attempt-id"),
                                status == 421 || status == 503
                                        ? "Rhubarbward-Not-Executed: 1\r\n"
                                        : "Rhubarbward-Server-Seal: 3e1b.07.5a2\r\n",
                                fields);
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Crashes: resets all connections and listens no more; returns whether it was running. */
    synchronized boolean crash() {
        if (mListener.isClosed()) {
            return false;
        }
        closeQuietly(mListener);
        mConnections.forEach(
                socket -> {
                    try {
                        socket.setSoLinger(true, 0);
                    } catch (IOException e) {
                        // It is closed already.
                    }
                    closeQuietly(socket);
                });
        return true;
    }

    /** Starts again at the same address, as a new incarnation. */
    synchronized void restart() throws IOException {
        mBornMillis = System.currentTimeMillis();
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(mHost, mPort), 1024);
        mListener = listener;
        startAccepting(listener);
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            // Nothing is left to close.
        }
    }

    @Override
    public void close() {
        crash();
    }
}
