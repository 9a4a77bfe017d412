package io.rhubarbward.testing;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** An event log that records the events, and the fields of the last one of each. */
public final class RecordingEvents implements EventLog {
    private final List<LogEvent> mLogged = new ArrayList<>();
    private final Map<LogEvent, List<EventField>> mLastFields = new EnumMap<>(LogEvent.class);

    /** Returns the events, in order. */
    public List<LogEvent> logged() {
        return mLogged;
    }

    /** Returns the fields of the newest such event; empty if there was none. */
    public List<EventField> lastFields(LogEvent event) {
        return mLastFields.getOrDefault(event, List.of());
    }

    @Override
    public void log(LogEvent event, EventField... fields) {
        mLogged.add(event);
        mLastFields.put(event, List.of(fields));
    }

    @Override
    public void log(LogEvent event, Throwable cause, EventField... fields) {
        mLogged.add(event);
    }
}
