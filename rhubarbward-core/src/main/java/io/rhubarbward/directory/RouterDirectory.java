package io.rhubarbward.directory;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.store.DecodedObject;
import io.rhubarbward.store.KindListener;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/** The routers that have listed themselves in the store, keyed by VM name. */
public final class RouterDirectory implements KindListener<RouterPresence> {
    private final EventLog mEvents;
    private final Map<String, RouterPresence> mRouters = new TreeMap<>();
    private Consumer<Set<String>> mRestoreSubscriber = names -> {};

    /** Creates an empty directory that logs each change. */
    public RouterDirectory(EventLog events) {
        mEvents = events;
    }

    /** Calls the subscriber with the names of the routers that a restored store lists. */
    public void subscribeToRestores(Consumer<Set<String>> subscriber) {
        mRestoreSubscriber = subscriber;
    }

    @Override
    public void onRestored(Set<String> missing) {
        Set<String> listed = new HashSet<>(mRouters.keySet());
        listed.removeAll(missing);
        mRestoreSubscriber.accept(listed);
    }

    @Override
    public void onSnapshot(List<DecodedObject<RouterPresence>> items) {
        Set<String> missing = new HashSet<>(mRouters.keySet());
        missing.removeAll(items.stream().map(DecodedObject::name).collect(Collectors.toSet()));
        missing.forEach(this::onDeleted);
        items.forEach(this::onItem);
    }

    /** An entry that cannot be decoded still counts as a router, with an unknown address. */
    @Override
    public void onItem(DecodedObject<RouterPresence> item) {
        RouterPresence presence = item.value().getOrElse(new RouterPresence("", "", 0));
        if (!presence.equals(mRouters.put(item.name(), presence))) {
            mEvents.log(
                    LogEvent.ROUTER_LISTED,
                    EventField.of("name", item.name()),
                    EventField.of("address", presence.address()),
                    EventField.of("present", true));
        }
    }

    @Override
    public void onDeleted(String name) {
        if (mRouters.remove(name) != null) {
            mEvents.log(
                    LogEvent.ROUTER_LISTED,
                    EventField.of("name", name),
                    EventField.of("present", false));
        }
    }

    /** Returns a live view of the routers, keyed by VM name. */
    public Map<String, RouterPresence> routers() {
        return mRouters;
    }

    /** Returns a live view of the VM names of the routers. */
    public Set<String> names() {
        return mRouters.keySet();
    }
}
