package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A proxy between the routers and the store, which can lose track of open connections. */
final class Link implements AutoCloseable {
    private final ServerSocket mListener;
    private final String mTargetHost;
    private final int mTargetPort;
    private final Set<Connection> mConnections = ConcurrentHashMap.newKeySet();

    /** A connection with both its ends. */
    private static final class Connection {
        private final Socket mNear;
        private final Socket mFar;
        private volatile long mUsedNanos = System.nanoTime();
        private volatile boolean mSilent;

        Connection(Socket near, Socket far) {
            mNear = near;
            mFar = far;
        }

        long idleMillis() {
            return (System.nanoTime() - mUsedNanos) / 1_000_000;
        }
    }

    Link(String host, String target) throws IOException {
        mTargetHost = target.substring(0, target.lastIndexOf(':'));
        mTargetPort = Integer.parseInt(target.substring(target.lastIndexOf(':') + 1));
        mListener = new ServerSocket(0, 256, InetAddress.getByName(host));
        Cases.start(this::accept);
    }

    String address() {
        return mListener.getInetAddress().getHostAddress() + ":" + mListener.getLocalPort();
    }

    /**
     * Loses track of the connections on which nothing has moved for so long: they stay open, and
     * nothing that is sent on them arrives any more. Returns how many they are.
     */
    int silenceIdle(long idleMillis) {
        mConnections.stream()
                .filter(connection -> connection.idleMillis() >= idleMillis)
                .forEach(connection -> connection.mSilent = true);
        return (int) mConnections.stream().filter(connection -> connection.mSilent).count();
    }

    int open() {
        return mConnections.size();
    }

    private void accept() {
        try {
            while (!mListener.isClosed()) {
                Socket near = mListener.accept();
                Socket far = new Socket(mTargetHost, mTargetPort);
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                Connection connection = new Connection(near, far);
                mConnections.add(connection);
                Cases.start(() -> forward(connection, near, far));
                Cases.start(() -> forward(connection, far, near));
            }
        } catch (IOException e) {
            // The case has ended.
        }
    }

    private void forward(Connection connection, Socket from, Socket to) {
        byte[] bytes = new byte[16_384];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                if (!connection.mSilent) {
                    connection.mUsedNanos = System.nanoTime();
                    out.write(bytes, 0, count);
                }
            }
        } catch (IOException e) {
            // One of the ends has closed.
        }
        if (!connection.mSilent) {
            close(connection);
        }
    }

    private void close(Connection connection) {
        mConnections.remove(connection);
        try {
            connection.mNear.close();
            connection.mFar.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    @Override
    public void close() throws IOException {
        mListener.close();
        mConnections.forEach(this::close);
    }
}
