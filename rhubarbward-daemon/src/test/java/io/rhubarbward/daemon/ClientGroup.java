package io.rhubarbward.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Connections that each send the same bytes and read nothing. They stay open until the group is
 * closed, unless the other side closes them.
 */
final class ClientGroup implements AutoCloseable {
    /** A small window, so that unread answers wait in the process and not in the socket. */
    private static final int RECEIVE_BUFFER_BYTES = 4096;

    /** How long sending pauses until the group gives up on connections that take no bytes. */
    private static final long STALLED_MILLIS = 1000;

    private final List<SocketChannel> mConnections = new ArrayList<>();

    /**
     * Opens the connections and sends on each as many bytes as the other side takes.
     *
     * @param unit what is sent
     * @param times how often each connection sends it at most
     */
    static ClientGroup send(int port, int connections, String unit, int times) throws IOException {
        ClientGroup group = new ClientGroup();
        byte[] bytes = unit.repeat(times).getBytes(StandardCharsets.ISO_8859_1);
        try (Selector selector = Selector.open()) {
            for (int i = 0; i < connections; i++) {
                group.open(port, selector, bytes);
            }
            while (!selector.keys().isEmpty() && selector.select(STALLED_MILLIS) > 0) {
                selector.selectedKeys().forEach(ClientGroup::writeSome);
                selector.selectedKeys().clear();
            }
        }
        return group;
    }

    private void open(int port, Selector selector, byte[] bytes) {
        try {
            SocketChannel connection = SocketChannel.open();
            mConnections.add(connection);
            connection.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
            connection.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            connection.configureBlocking(false);
            if (bytes.length > 0) {
                connection.register(selector, SelectionKey.OP_WRITE, ByteBuffer.wrap(bytes));
            }
        } catch (IOException e) {
            // The other side may refuse any connection of the group.
            return;
        }
    }

    private static void writeSome(SelectionKey key) {
        ByteBuffer bytes = (ByteBuffer) key.attachment();
        try {
            ((SocketChannel) key.channel()).write(bytes);
        } catch (IOException e) {
            // The other side may close any connection of the group.
            key.cancel();
            return;
        }
        if (!bytes.hasRemaining()) {
            key.cancel();
        }
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel connection : mConnections) {
            connection.close();
        }
    }
}
