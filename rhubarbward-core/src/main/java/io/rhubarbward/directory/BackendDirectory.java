package io.rhubarbward.directory;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.store.KindListener;
import io.rhubarbward.store.ObjectItem;
import io.rhubarbward.store.StoreContact;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The backend servers that the store lists.
 *
 * <p>While the store is away, all that was known stays. An entry that disappears just after its
 * return may have lapsed during the outage, so that it is kept for the time in which live servers
 * list themselves again.
 */
public final class BackendDirectory implements KindListener<ListedServer> {
    /** How long after an outage live servers need to list themselves again; the store's promise. */
    private static final Duration RETURN_TIME = Duration.ofSeconds(2);

    private final TimerService mTimers;
    private final StoreContact mContact;
    private final EventLog mEvents;
    private final DirectoryListener mListener;
    private final Map<String, ListedServer> mServers = new HashMap<>();
    private final Set<String> mLapsed = new HashSet<>();

    /** Tells the listener of all changes. */
    public BackendDirectory(
            TimerService timers,
            StoreContact contact,
            EventLog events,
            DirectoryListener listener) {
        mTimers = timers;
        mContact = contact;
        mEvents = events;
        mListener = listener;
    }

    @Override
    public void onSnapshot(List<ObjectItem<ListedServer>> items) {
        Set<String> missing = new HashSet<>(mServers.keySet());
        items.forEach(
                item -> {
                    missing.remove(item.name());
                    onItem(item);
                });
        missing.forEach(this::onDeleted);
    }

    @Override
    public void onItem(ObjectItem<ListedServer> item) {
        mLapsed.remove(item.name());
        item.value()
                .peek(this::list)
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

    private void list(ListedServer entry) {
        ListedServer known = mServers.get(entry.id());
        if (known != null && entry.bornBefore(known)) {
            log(entry, "outdated");
            return;
        }
        if (known != null && known.sameLife(entry)) {
            mServers.put(entry.id(), entry);
            if (known.draining() != entry.draining()) {
                log(entry, entry.draining() ? "draining" : "ready");
            }
            mListener.onUpdated(entry);
            return;
        }
        if (known != null) {
            remove(entry.id(), "reborn");
        }
        mServers.put(entry.id(), entry);
        log(entry, entry.coldRemaining().isZero() ? "listed" : "listed-cold");
        mListener.onArrived(entry);
    }

    @Override
    public void onDeleted(String name) {
        if (!mServers.containsKey(name)) {
            return;
        }
        long sinceOutage = mContact.millisSinceOutage();
        if (sinceOutage >= RETURN_TIME.toMillis()) {
            remove(name, "gone");
        } else if (mLapsed.add(name)) {
            log(mServers.get(name), "lapsed");
            mTimers.after(
                    RETURN_TIME.minusMillis(sinceOutage),
                    () -> {
                        if (mLapsed.remove(name)) {
                            remove(name, "gone-after-outage");
                        }
                    });
        }
    }

    private void remove(String name, String why) {
        ListedServer gone = mServers.remove(name);
        if (gone != null) {
            log(gone, why);
            mListener.onLeft(gone);
        }
    }

    private void log(ListedServer entry, String state) {
        mEvents.log(
                LogEvent.BACKEND_STATE_CHANGED,
                EventField.of("server", entry.id()),
                EventField.of("service", entry.server().service()),
                EventField.of("address", entry.server().address()),
                EventField.of("version", entry.server().version()),
                EventField.of("coldMs", entry.coldRemaining().toMillis()),
                EventField.of("state", state));
    }

    /** Returns the server's entry. */
    public Optional<ListedServer> server(String id) {
        return Optional.ofNullable(mServers.get(id));
    }

    /** Returns all servers. */
    public List<ListedServer> servers() {
        return List.copyOf(mServers.values());
    }
}
