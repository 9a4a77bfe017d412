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
 * The newest configuration that this process has taken.
 *
 * <p>It never goes back: a lower or equal generation is ignored, whoever offers it.
 */
public final class CurrentConfiguration implements StateSource {
    private final EventLog mEvents;
    private final List<Consumer<Configuration>> mSubscribers = new ArrayList<>();
    private @Nullable Configuration mCurrent;

    /** Starts with no configuration in force. */
    public CurrentConfiguration(EventLog events) {
        mEvents = events;
    }

    /** Returns the configuration in force; empty until the first one is taken. */
    public Optional<Configuration> current() {
        return Optional.ofNullable(mCurrent);
    }

    /** Returns the settings in force; empty until the first configuration is taken. */
    public Optional<Settings> settings() {
        return current().map(Configuration::settings);
    }

    /** Returns the generation in force, or 0 before the first. */
    public long generation() {
        return mCurrent == null ? 0 : mCurrent.generation();
    }

    /** Calls the subscriber with the configuration in force, if any, and with each later one. */
    public void subscribe(Consumer<Configuration> subscriber) {
        mSubscribers.add(subscriber);
        current().ifPresent(subscriber);
    }

    /** Takes the configuration if its generation is higher; returns whether it was taken. */
    public boolean offer(Configuration offered) {
        if (offered.generation() <= generation()) {
            mEvents.log(
                    LogEvent.CONFIG_OLDER_IGNORED,
                    EventField.of("offered", offered.generation()),
                    EventField.of("generation", generation()));
            return false;
        }
        mCurrent = offered;
        mEvents.log(LogEvent.CONFIG_IN_FORCE, EventField.of("generation", offered.generation()));
        mSubscribers.forEach(subscriber -> subscriber.accept(offered));
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
