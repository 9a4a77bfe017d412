package io.rhubarbward.catalog;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.store.DecodedObject;
import io.rhubarbward.store.KindListener;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * The newest catalogue that this process has seen.
 *
 * <p>A higher version replaces a lower one, whoever brings it; nothing goes back.
 */
public final class CurrentCatalog implements KindListener<Catalog> {
    private final String mObjectName;
    private final EventLog mEvents;
    private final List<Consumer<Catalog>> mSubscribers = new ArrayList<>();
    private @Nullable Catalog mCurrent;

    /** Takes catalogues from the object of the given name; others of its kind are ignored. */
    public CurrentCatalog(String objectName, EventLog events) {
        mObjectName = objectName;
        mEvents = events;
    }

    /** Returns the catalogue in force; empty until the first one was read. */
    public Optional<Catalog> current() {
        return Optional.ofNullable(mCurrent);
    }

    /** Calls the subscriber with each catalogue that comes into force. */
    public void subscribe(Consumer<Catalog> subscriber) {
        mSubscribers.add(subscriber);
    }

    @Override
    public void onSnapshot(List<DecodedObject<Catalog>> items) {
        items.forEach(this::onItem);
    }

    @Override
    public void onItem(DecodedObject<Catalog> item) {
        if (!item.name().equals(mObjectName)) {
            return;
        }
        item.value()
                .peek(this::offer)
                .peekLeft(
                        reason ->
                                mEvents.log(
                                        LogEvent.CONFIG_REFUSED,
                                        EventField.of("revision", item.revision()),
                                        EventField.of("reason", reason)));
    }

    @Override
    public void onDeleted(String name) {
        mEvents.log(LogEvent.CONFIG_OLDER_IGNORED, EventField.of("deleted", name));
    }

    private void offer(Catalog offered) {
        if (mCurrent != null && offered.version() <= mCurrent.version()) {
            if (offered.version() < mCurrent.version()) {
                mEvents.log(
                        LogEvent.CONFIG_OLDER_IGNORED,
                        EventField.of("offered", offered.version()),
                        EventField.of("inForce", mCurrent.version()));
            }
            return;
        }
        mCurrent = offered;
        mEvents.log(
                LogEvent.CONFIG_IN_FORCE,
                EventField.of("generation", offered.version()),
                EventField.of("routes", offered.routes().size()));
        mSubscribers.forEach(subscriber -> subscriber.accept(offered));
    }
}
