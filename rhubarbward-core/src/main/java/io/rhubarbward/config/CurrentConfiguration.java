package io.rhubarbward.config;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.state.StateSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Holds the configuration that is in force at this router: the one with the highest generation.
 *
 * <p>Only a higher generation replaces the current one. A lower or equal one is ignored.
 */
public final class CurrentConfiguration implements StateSource {
    private final EventLog mEvents;
    private final List<Consumer<Configuration>> mSubscribers = new ArrayList<>();
    private @Nullable Configuration mCurrent;

    /** Starts without a configuration. */
    public CurrentConfiguration(EventLog events) {
        mEvents = events;
    }

    /** Returns the configuration in force; empty if there is none yet. */
    public Optional<Configuration> current() {
        return Optional.ofNullable(mCurrent);
    }

    /** Returns the settings in force; empty if there is no configuration yet. */
    public Optional<Settings> settings() {
        return current().map(Configuration::settings);
    }

    /** Returns the generation in force; 0 if there is none yet. */
    public long generation() {
        return mCurrent == null ? 0 : mCurrent.generation();
    }

    /** Calls the subscriber with the configuration in force, if any, and with each later one. */
    public void subscribe(Consumer<Configuration> subscriber) {
        mSubscribers.add(subscriber);
        current().ifPresent(subscriber);
    }

    /** Puts the configuration into force if its generation is higher; returns whether it did. */
    public boolean replaceIfNewer(Configuration candidate) {
        if (candidate.generation() <= generation()) {
            mEvents.log(
                    LogEvent.CONFIG_OLDER_IGNORED,
                    EventField.of("offered", candidate.generation()),
                    EventField.of("generation", generation()));
            return false;
        }
        mCurrent = candidate;
        mEvents.log(LogEvent.CONFIG_IN_FORCE, EventField.of("generation", candidate.generation()));
        mSubscribers.forEach(subscriber -> subscriber.accept(candidate));
        return true;
    }

    @Override
    public String name() {
        return "config";
    }

    @Override
    public Object state() {
        return Map.of("generation", generation());
    }
}
