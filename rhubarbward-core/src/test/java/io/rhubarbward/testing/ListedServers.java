package io.rhubarbward.testing;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.directory.ListedServer;
import java.time.Duration;

/** Builds entries of the backend directory. */
public final class ListedServers {
    private ListedServers() {}

    public static ListedServer server(String id, String service, String dataCentre) {
        return server(id, service, dataCentre, Duration.ZERO, false, 1);
    }

    /** Returns the entry that the server has written for the given time in this incarnation. */
    public static ListedServer written(String id, long writes, boolean draining) {
        ListedServer server = server(id, "chat", "a", Duration.ZERO, draining, 1);
        return new ListedServer(
                server.server(),
                server.slots(),
                draining,
                server.coldRemaining(),
                writes,
                server.startedAtMillis());
    }

    public static ListedServer server(
            String id,
            String service,
            String dataCentre,
            Duration coldStart,
            boolean draining,
            long born) {
        return new ListedServer(
                new BackendServer(
                        id,
                        service,
                        dataCentre,
                        "10.0.0.1:" + (1000 + Math.abs(id.hashCode() % 9000)),
                        "v1",
                        BackendServer.Fencing.IGNORES),
                8,
                draining,
                coldStart,
                0,
                born);
    }
}
