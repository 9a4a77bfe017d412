package io.rhubarbward.directory;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.store.DecodedObject;
import io.rhubarbward.store.KindListener;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * The set of marker objects of one kind: objects that matter by their presence alone, such as the
 * mark on a data centre that is being evacuated.
 *
 * <p>The content of a marker is ignored, so one that cannot be decoded counts as well.
 *
 * @param <T> the type of the decoded content
 */
public final class MarkerSet<T> implements KindListener<T> {
    private final EventLog mEvents;
    private final LogEvent mEvent;
    private final Set<String> mNames = new HashSet<>();

    /** Creates an empty set that logs each added or removed marker as the event. */
    public MarkerSet(EventLog events, LogEvent event) {
        mEvents = events;
        mEvent = event;
    }

    @Override
    public void onSnapshot(List<DecodedObject<T>> items) {
        Set<String> present = items.stream().map(DecodedObject::name).collect(Collectors.toSet());
        List.copyOf(mNames).stream()
                .filter(name -> !present.contains(name))
                .forEach(this::onDeleted);
        items.forEach(this::onItem);
    }

    @Override
    public void onItem(DecodedObject<T> item) {
        if (mNames.add(item.name())) {
            logChange(item.name(), true);
        }
    }

    @Override
    public void onDeleted(String name) {
        if (mNames.remove(name)) {
            logChange(name, false);
        }
    }

    private void logChange(String name, boolean present) {
        mEvents.log(mEvent, EventField.of("name", name), EventField.of("present", present));
    }

    /** Returns whether a marker of the name exists. */
    public boolean contains(String name) {
        return mNames.contains(name);
    }

    /** Returns the names of all markers, sorted. */
    public Set<String> names() {
        return new TreeSet<>(mNames);
    }
}
