package io.rhubarbward.event;

import java.util.Arrays;
import java.util.stream.Collectors;

/** Writes events to a {@link System.Logger}, as {@code RBW-1101 config-in-force generation=12}. */
public final class SystemEventLog implements EventLog {
    private final System.Logger mLogger;

    /** Logs under the given logger name. */
    public SystemEventLog(String loggerName) {
        mLogger = System.getLogger(loggerName);
    }

    @Override
    public void log(LogEvent event, EventField... fields) {
        if (mLogger.isLoggable(event.level())) {
            mLogger.log(event.level(), () -> render(event, fields));
        }
    }

    @Override
    public void log(LogEvent event, Throwable cause, EventField... fields) {
        if (mLogger.isLoggable(event.level())) {
            mLogger.log(event.level(), () -> render(event, fields), cause);
        }
    }

    private static String render(LogEvent event, EventField... fields) {
        return Arrays.stream(fields)
                .map(field -> " " + field.name() + "=" + field.value())
                .collect(Collectors.joining("", "RBW-" + event.number() + " " + event.label(), ""));
    }
}
