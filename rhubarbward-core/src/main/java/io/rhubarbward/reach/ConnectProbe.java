package io.rhubarbward.reach;

import java.time.Duration;
import java.util.function.Consumer;

/** Tries to open a connection to an address; sends nothing on it. */
@FunctionalInterface
public interface ConnectProbe {
    /**
     * Opens a connection and closes it again.
     *
     * @param address host and port
     * @param timeout time after which the attempt has failed
     * @param onResult called once, on the timer service's thread, with whether a connection came
     *     about
     */
    void connect(String address, Duration timeout, Consumer<Boolean> onResult);
}
