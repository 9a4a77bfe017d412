import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashSet;
import java.util.Set;

/** Passes connections on to an address, and can partition or reset them. */
final class Proxy implements AutoCloseable {
    private final ServerSocket mServer;
    private final String mTarget;
    private final Set<Socket> mSockets = new HashSet<>();
    private boolean mCut;

    Proxy(String ip, String target) throws IOException {
        mServer = new ServerSocket(0, 200, InetAddress.getByName(ip));
        mTarget = target;
        Threads.start("proxy", this::accept);
    }

    String address() {
        return mServer.getInetAddress().getHostAddress() + ":" + mServer.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket near = mServer.accept();
            Threads.start("proxy-connection", () -> connect(near));
        }
    }

    private void connect(Socket near) throws IOException {
        awaitOpen();
        int colon = mTarget.lastIndexOf(':');
        Socket far =
                new Socket(
                        mTarget.substring(0, colon),
                        Integer.parseInt(mTarget.substring(colon + 1)));
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        synchronized (this) {
            mSockets.add(near);
            mSockets.add(far);
        }
        Threads.start("proxy-back", () -> copy(far, near));
        copy(near, far);
    }

    private void copy(Socket from, Socket to) throws IOException {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                awaitOpen();
                out.write(buffer, 0, count);
            }
        } finally {
            awaitOpen();
            synchronized (this) {
                mSockets.remove(from);
                mSockets.remove(to);
            }
            from.close();
            to.close();
        }
    }

    private synchronized void awaitOpen() {
        try {
            while (mCut) {
                wait();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Partitions both sides: nothing passes, and no connection ends, until {@link #heal}. */
    synchronized void cut() {
        mCut = true;
    }

    synchronized void heal() {
        mCut = false;
        notifyAll();
    }

    /** Resets all open connections. */
    synchronized void reset() throws IOException {
        for (Socket socket : mSockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        mSockets.clear();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }
}
