package io.rhubarbward.daemon;

import io.rhubarbward.event.EventLog;
import io.rhubarbward.net.backend.HttpClients;
import io.rhubarbward.net.platform.HttpObjectStore;
import io.rhubarbward.store.ObjectStore;
import io.rhubarbward.timer.SystemTimerService;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.asynchttpclient.AsyncHttpClient;

/** Access to the platform's object store for a process that is not a router, such as the CLI. */
public final class PlatformConnection implements AutoCloseable {
    private final SystemTimerService mTimers;
    private final AsyncHttpClient mClient = HttpClients.open("platform");
    private final ObjectStore mStore;

    /**
     * Creates an HTTP client for the platform.
     *
     * @param address host and port
     */
    public PlatformConnection(String address, EventLog events) {
        mTimers = new SystemTimerService("platform", events);
        mStore = new HttpObjectStore(mClient, address, mTimers);
    }

    /** Returns the platform's object store. */
    public ObjectStore store() {
        return mStore;
    }

    /** Returns the timer service on whose thread calls to the store complete. */
    public SystemTimerService timers() {
        return mTimers;
    }

    @Override
    public void close() {
        try {
            mClient.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            mTimers.close();
        }
    }
}
