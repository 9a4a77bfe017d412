package io.rhubarbward.node;

import io.rhubarbward.store.WatchTiming;
import java.time.Duration;

/** The timings with which a router watches each kind of object in the store. */
final class StoreWatchTimings {
    /**
     * How long a watch of the catalogue waits for changes. Each return confirms that this router
     * knows the valid keys, so several waits fit into the revocation time. Each return also states
     * how far the store has got, so that silent watches of other kinds are found soon.
     */
    private static final Duration CATALOG_WATCH_WAIT = Duration.ofMillis(1500);

    /** How long other watches wait: a return costs a call and confirms nothing that is needed. */
    private static final Duration WATCH_WAIT = Duration.ofSeconds(12);

    /** Rest of a watch after changes, which then come in fewer calls; well within every bound. */
    private static final Duration WATCH_REST = Duration.ofMillis(500);

    /** Time between checks of the servers: together with a catalogue's wait within a drain's. */
    private static final Duration SERVERS_CHECK = Duration.ofMillis(400);

    /** Time between checks of evacuations and rollouts, whose bounds are longer. */
    private static final Duration MARKERS_CHECK = Duration.ofMillis(1500);

    static final WatchTiming CATALOG =
            new WatchTiming(CATALOG_WATCH_WAIT, Duration.ZERO, CATALOG_WATCH_WAIT);
    static final WatchTiming SERVERS = new WatchTiming(WATCH_WAIT, WATCH_REST, SERVERS_CHECK);
    static final WatchTiming EVACUATIONS = new WatchTiming(WATCH_WAIT, WATCH_REST, MARKERS_CHECK);
    static final WatchTiming ROLLOUTS = new WatchTiming(WATCH_WAIT, Duration.ZERO, MARKERS_CHECK);

    /** Nothing depends on hearing of another router within the wait. */
    static final WatchTiming ROUTERS = new WatchTiming(WATCH_WAIT, WATCH_REST, WATCH_WAIT);

    private StoreWatchTimings() {}
}
