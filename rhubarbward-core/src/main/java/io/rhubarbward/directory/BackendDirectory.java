package io.rhubarbward.directory;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.store.DecodedObject;
import io.rhubarbward.store.KindListener;
import io.rhubarbward.store.StoreAvailability;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tracks the backend servers listed in the store and reports each change to a listener.
 *
 * <p>A store that was restored from an older copy has entries as they were: one that its server
 * wrote before the known one is ignored, and one of a server that was gone is used only if the
 * store still lists it when the entries of silent servers have lapsed.
 *
 * <p>While the store is unavailable, the last known entries are kept. An entry found deleted just
 * after an outage may have expired during it although its server runs, so it is kept until live
 * servers have had time to list themselves again.
 */
public final class BackendDirectory implements KindListener<ListedServer> {
    /** Time after an outage in which live servers list themselves again, as the store promises. */
    private static final Duration RELISTING_TIME = Duration.ofSeconds(2);

    /** Time in which the store removes the entry of a server that writes nothing any more. */
    private static final Duration LAPSE_TIME = Duration.ofSeconds(5);

    /** How long a server that is gone is remembered; longer than a copy of the store is old. */
    private static final Duration GONE_RETENTION = Duration.ofMinutes(2);

    private final TimerService mTimers;
    private final StoreAvailability mAvailability;
    private final EventLog mEvents;
    private final DirectoryListener mListener;
    private final Map<String, ListedServer> mServers = new HashMap<>();
    private final Set<String> mPendingRemovals = new HashSet<>();

    /** The last entries of servers that are gone. */
    private final Map<String, ListedServer> mGone = new HashMap<>();

    /** Entries of servers that were gone, which are not used yet. */
    private final Map<String, ListedServer> mHeld = new HashMap<>();

    /** Creates an empty directory that reports every change to the listener. */
    public BackendDirectory(
            TimerService timers,
            StoreAvailability availability,
            EventLog events,
            DirectoryListener listener) {
        mTimers = timers;
        mAvailability = availability;
        mEvents = events;
        mListener = listener;
    }

    @Override
    public void onSnapshot(List<DecodedObject<ListedServer>> items) {
        Set<String> missing = new HashSet<>(mServers.keySet());
        missing.addAll(mHeld.keySet());
        items.forEach(
                item -> {
                    missing.remove(item.name());
                    onItem(item);
                });
        missing.forEach(this::onDeleted);
    }

    @Override
    public void onItem(DecodedObject<ListedServer> item) {
        mPendingRemovals.remove(item.name());
        item.value()
                .peek(this::addOrUpdate)
                .peekLeft(
                        reason -> {
                            mEvents.log(
                                    LogEvent.BACKEND_ENTRY_UNREADABLE,
                                    EventField.of("server", item.name()),
                                    EventField.of("revision", item.revision()),
                                    EventField.of("reason", reason));
                            remove(item.name(), "unreadable");
                        });
    }

    private void addOrUpdate(ListedServer entry) {
        ListedServer known = mServers.get(entry.id());
        if (known != null && (entry.startedBefore(known) || entry.writtenBefore(known))) {
            logState(entry, "outdated");
            return;
        }
        ListedServer gone = mGone.get(entry.id());
        if (known == null && gone != null && entry.isNoLaterThan(gone)) {
            hold(entry);
            return;
        }
        mHeld.remove(entry.id());
        if (known != null && known.isSameIncarnation(entry)) {
            mServers.put(entry.id(), entry);
            if (known.draining() != entry.draining()) {
                logState(entry, entry.draining() ? "draining" : "ready");
            }
            mListener.onUpdated(entry);
            return;
        }
        if (known != null) {
            remove(entry.id(), "reborn");
        }
        mServers.put(entry.id(), entry);
        logState(entry, entry.coldRemaining().isZero() ? "listed" : "listed-cold");
        mListener.onAdded(entry);
    }

    private void hold(ListedServer entry) {
        logState(entry, "held");
        mHeld.put(entry.id(), entry);
        mTimers.after(
                LAPSE_TIME,
                () -> {
                    if (mHeld.remove(entry.id(), entry)) {
                        mGone.remove(entry.id());
                        addOrUpdate(entry);
                    }
                });
    }

    @Override
    public Duration rewriteTime() {
        return RELISTING_TIME;
    }

    @Override
    public void onDeleted(String name) {
        mHeld.remove(name);
        if (!mServers.containsKey(name)) {
            return;
        }
        long millisSinceOutage = mAvailability.millisSinceOutage();
        if (millisSinceOutage >= RELISTING_TIME.toMillis()) {
            removeForGood(name, "gone");
        } else if (mPendingRemovals.add(name)) {
            logState(mServers.get(name), "lapsed");
            mTimers.after(
                    RELISTING_TIME.minusMillis(millisSinceOutage),
                    () -> {
                        if (mPendingRemovals.remove(name)) {
                            removeForGood(name, "gone-after-outage");
                        }
                    });
        }
    }

    private void removeForGood(String name, String reason) {
        ListedServer last = mServers.get(name);
        remove(name, reason);
        if (last != null) {
            mGone.put(name, last);
            mTimers.after(GONE_RETENTION, () -> mGone.remove(name, last));
        }
    }

    private void remove(String name, String reason) {
        ListedServer removed = mServers.remove(name);
        if (removed != null) {
            logState(removed, reason);
            mListener.onRemoved(removed);
        }
    }

    private void logState(ListedServer entry, String state) {
        mEvents.log(
                LogEvent.BACKEND_STATE_CHANGED,
                EventField.of("server", entry.id()),
                EventField.of("service", entry.server().service()),
                EventField.of("address", entry.server().address()),
                EventField.of("version", entry.server().version()),
                EventField.of("coldMs", entry.coldRemaining().toMillis()),
                EventField.of("state", state));
    }

    /** Returns the entry of the server with the id; empty if it is not listed. */
    public Optional<ListedServer> server(String id) {
        return Optional.ofNullable(mServers.get(id));
    }

    /** Returns the entries of all listed servers. */
    public List<ListedServer> servers() {
        return List.copyOf(mServers.values());
    }
}
