package io.rhubarbward.daemon;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Keeps what is logged of connections that a router refused or closed. */
final class ClosedConnectionLog implements EventLog {
    private final List<EventField> mFields = new CopyOnWriteArrayList<>();

    /** Returns the fields of all such events. */
    List<EventField> fields() {
        return mFields;
    }

    @Override
    public void log(LogEvent event, EventField... fields) {
        if (event == LogEvent.CONNECTION_REFUSED) {
            mFields.addAll(List.of(fields));
        }
    }

    @Override
    public void log(LogEvent event, Throwable cause, EventField... fields) {
        log(event, fields);
    }
}
