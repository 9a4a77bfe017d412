import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Accepts connections on a loopback address and serves each on a thread of its own. */
class Server {
    private final ConnectionHandler mHandler;
    private final Set<Socket> mConnections = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket mListening;
    private volatile InetSocketAddress mAddress;

    /** Serves one connection until it ends. */
    interface ConnectionHandler {
        void serve(Socket connection) throws IOException;
    }

    Server(ConnectionHandler handler) {
        mHandler = handler;
        mAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    /** Listens, at the same port as before if it listened already. */
    final void open() {
        try {
            ServerSocket listening = new ServerSocket();
            listening.setReuseAddress(true);
            listening.bind(mAddress, 1024);
            mAddress = (InetSocketAddress) listening.getLocalSocketAddress();
            mListening = listening;
            Threads.start("accept " + mAddress, () -> accept(listening));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the host and the port. */
    final String address() {
        return "127.0.0.1:" + mAddress.getPort();
    }

    private void accept(ServerSocket listening) {
        while (!listening.isClosed()) {
            try {
                Socket connection = listening.accept();
                connection.setTcpNoDelay(true);
                mConnections.add(connection);
                Threads.start("serve " + mAddress, () -> serve(connection));
            } catch (IOException e) {
                // The listening socket was closed, or the connection was lost at once.
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            mHandler.serve(connection);
        } catch (IOException e) {
            // The other side has ended the connection.
        } finally {
            mConnections.remove(connection);
        }
    }

    /** Stops to listen and resets all connections, as the end of a process does. */
    final void crash() {
        try {
            mListening.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        mConnections.forEach(Server::reset);
    }

    private static void reset(Socket connection) {
        try {
            connection.setSoLinger(true, 0);
            connection.close();
        } catch (IOException e) {
            // The other side has ended the connection.
        }
    }
}
