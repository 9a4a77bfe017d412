package io.rhubarbward.testing;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import java.util.ArrayList;
import java.util.List;

/** An event log that records the events, without their fields. */
public final class RecordingEvents implements EventLog {
    private final List<LogEvent> mLogged = new ArrayList<>();

    /** Returns the events, in order. */
    public List<LogEvent> logged() {
        return mLogged;
    }

    @Override
    public void log(LogEvent event, EventField... fields) {
        mLogged.add(event);
    }

    @Override
    public void log(LogEvent event, Throwable cause, EventField... fields) {
        mLogged.add(event);
    }
}
