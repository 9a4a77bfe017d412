package io.rhubarbward.daemon;

import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * The ports of a demo on loopback; 0 takes free ones, and each further router takes the next.
 *
 * @param callers the first router's port for callers
 * @param operators the first router's port for operators
 * @param platform the platform stand-in's port
 */
public record DemoPorts(int callers, int operators, int platform) {
    /** Free ports for everything. */
    public static final DemoPorts FREE = new DemoPorts(0, 0, 0);

    private static final int STEP = 10;

    static int nth(int first, int index) {
        return first == 0 ? 0 : first + index * STEP;
    }

    /** Returns the port on loopback. */
    public static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }
}
