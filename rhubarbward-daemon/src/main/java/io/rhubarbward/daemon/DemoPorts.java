package io.rhubarbward.daemon;

import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * The ports of a demo on loopback; 0 takes free ones. Each further router's ports are higher by 10.
 *
 * @param callers the first router's port for callers
 * @param operators the first router's port for operators
 * @param platform the platform stand-in's port
 */
public record DemoPorts(int callers, int operators, int platform) {
    /** Takes a free port for each listener. */
    public static final DemoPorts FREE = new DemoPorts(0, 0, 0);

    private static final int ROUTER_PORT_STEP = 10;

    /** Returns a port of the router with the index, given that of the first router. */
    static int routerPort(int first, int index) {
        return first == 0 ? 0 : first + index * ROUTER_PORT_STEP;
    }

    /** Returns the socket address of the port on loopback. */
    public static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }
}
