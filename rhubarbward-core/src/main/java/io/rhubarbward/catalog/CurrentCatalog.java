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
 * Holds the catalogue with the highest version that this process has read.
 *
 * <p>Only a higher version replaces the current one. A lower version and a deletion are ignored; a
 * store that has them does not confirm the current catalogue, since it lost later ones.
 */
public final class CurrentCatalog implements KindListener<Catalog> {
    private final String mObjectName;
    private final EventLog mEvents;
    private final List<Consumer<Catalog>> mSubscribers = new ArrayList<>();
    private @Nullable Catalog mCurrent;
    private Optional<Catalog> mInStore = Optional.empty();

    /** Accepts catalogues from the object with the given name only; other objects are ignored. */
    public CurrentCatalog(String objectName, EventLog events) {
        mObjectName = objectName;
        mEvents = events;
    }

    /** Returns the current catalogue; empty until one was read. */
    public Optional<Catalog> current() {
        return Optional.ofNullable(mCurrent);
    }

    /** Calls the subscriber with each catalogue that becomes the current one. */
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
                .peek(
                        catalog -> {
                            mInStore = Optional.of(catalog);
                            replaceIfNewer(catalog);
                        })
                .peekLeft(
                        reason ->
                                mEvents.log(
                                        LogEvent.CONFIG_REFUSED,
                                        EventField.of("revision", item.revision()),
                                        EventField.of("reason", reason)));
    }

    @Override
    public boolean storeIsUpToDate() {
        return current().map(Catalog::version).equals(mInStore.map(Catalog::version));
    }

    @Override
    public void onDeleted(String name) {
        if (name.equals(mObjectName)) {
            mInStore = Optional.empty();
        }
        mEvents.log(LogEvent.CONFIG_OLDER_IGNORED, EventField.of("deleted", name));
    }

    private void replaceIfNewer(Catalog candidate) {
        if (mCurrent != null && candidate.version() <= mCurrent.version()) {
            if (candidate.version() < mCurrent.version()) {
                mEvents.log(
                        LogEvent.CONFIG_OLDER_IGNORED,
                        EventField.of("offered", candidate.version()),
                        EventField.of("inForce", mCurrent.version()));
            }
            return;
        }
        mCurrent = candidate;
        mEvents.log(
                LogEvent.CONFIG_IN_FORCE,
                EventField.of("generation", candidate.version()),
                EventField.of("routes", candidate.routes().size()));
        mSubscribers.forEach(subscriber -> subscriber.accept(candidate));
    }
}
