package io.rhubarbward.event;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.rhubarbward.timer.TimerService;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Writes events to a {@link System.Logger}, each as one line with a JSON object.
 *
 * <p>At most {@link #MAX_LINES_PER_SECOND} lines a second are written. Warnings and errors may use
 * the whole limit, other events a part of it. The number of dropped lines is logged before the
 * first event of a later second.
 */
public final class JsonEventLog implements EventLog {
    /** Limit of lines a second: a few times what a router writes on a busy day. */
    static final int MAX_LINES_PER_SECOND = 400;

    /** Share of the limit that events below the level of a warning may use. */
    private static final double SHARE_BELOW_WARNING = 0.8;

    private static final long MILLIS_PER_SECOND = 1000;
    private static final JsonFactory FACTORY = new JsonFactory();

    private final System.Logger mLogger;
    private final Supplier<String> mSource;
    private final Supplier<Clock> mClock;
    private long mCurrentSecond;
    private int mLinesThisSecond;
    private int mDroppedLines;

    /**
     * Logs under the given logger name.
     *
     * @param source returns the name of the process's VM, which each line contains
     * @param clock returns the current time
     */
    public JsonEventLog(String loggerName, Supplier<String> source, Supplier<Clock> clock) {
        mLogger = System.getLogger(loggerName);
        mSource = source;
        mClock = clock;
    }

    /**
     * A reading of the wall clock and the monotonic clock.
     *
     * @param epochMillis the wall clock in Unix milliseconds
     * @param monotonicMillis the monotonic clock in milliseconds
     */
    public record Clock(long epochMillis, long monotonicMillis) {
        /** Reads both clocks of the service. */
        public static Clock of(TimerService timers) {
            return new Clock(timers.epochMillis(), timers.nowMillis());
        }
    }

    @Override
    public void log(LogEvent event, EventField... fields) {
        write(event, null, fields);
    }

    @Override
    public void log(LogEvent event, Throwable cause, EventField... fields) {
        write(event, cause, fields);
    }

    private synchronized void write(
            LogEvent event, @Nullable Throwable cause, EventField... fields) {
        if (!mLogger.isLoggable(event.level())) {
            return;
        }
        Clock clock = mClock.get();
        if (clock.monotonicMillis() / MILLIS_PER_SECOND != mCurrentSecond) {
            mCurrentSecond = clock.monotonicMillis() / MILLIS_PER_SECOND;
            mLinesThisSecond = 0;
            if (mDroppedLines > 0) {
                int dropped = mDroppedLines;
                mDroppedLines = 0;
                emit(LogEvent.LOG_LINES_DROPPED, clock, null, EventField.of("lines", dropped));
            }
        }
        boolean urgent = event.level().compareTo(System.Logger.Level.WARNING) >= 0;
        if (mLinesThisSecond
                >= (urgent ? MAX_LINES_PER_SECOND : MAX_LINES_PER_SECOND * SHARE_BELOW_WARNING)) {
            mDroppedLines++;
            return;
        }
        emit(event, clock, cause, fields);
    }

    private void emit(
            LogEvent event, Clock clock, @Nullable Throwable cause, EventField... fields) {
        mLinesThisSecond++;
        StringWriter line = new StringWriter();
        try (JsonGenerator json = FACTORY.createGenerator(line)) {
            json.writeStartObject();
            json.writeNumberField("ts", clock.epochMillis());
            json.writeStringField("vm", mSource.get());
            json.writeStringField("level", event.level().name());
            json.writeNumberField("number", event.number());
            json.writeStringField("event", event.label());
            for (EventField field : fields) {
                writeField(json, field);
            }
            if (cause != null) {
                json.writeStringField("cause", describe(cause));
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write a log event as JSON to a string", e);
        }
        mLogger.log(event.level(), line.toString());
    }

    private static void writeField(JsonGenerator json, EventField field) throws IOException {
        if (field.value() instanceof Long || field.value() instanceof Integer) {
            json.writeNumberField(field.name(), ((Number) field.value()).longValue());
        } else if (field.value() instanceof Boolean flag) {
            json.writeBooleanField(field.name(), flag);
        } else {
            json.writeStringField(field.name(), String.valueOf(field.value()));
        }
    }

    private static String describe(Throwable cause) {
        StackTraceElement[] trace = cause.getStackTrace();
        return trace.length == 0 ? cause.toString() : cause + " at " + trace[0];
    }
}
