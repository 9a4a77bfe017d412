package io.rhubarbward.event;

/**
 * A log that takes numbered events.
 *
 * <pre>{@code
 * events.log(LogEvent.CONFIG_IN_FORCE, EventField.of("generation", 12));
 * }</pre>
 */
public interface EventLog {
    /** Logs the event with its fields. */
    void log(LogEvent event, EventField... fields);

    /** Logs the event with the exception that caused it. */
    void log(LogEvent event, Throwable cause, EventField... fields);

    /** Returns a log that discards all events. */
    static EventLog none() {
        return new EventLog() {
            @Override
            public void log(LogEvent event, EventField... fields) {}

            @Override
            public void log(LogEvent event, Throwable cause, EventField... fields) {}
        };
    }
}
