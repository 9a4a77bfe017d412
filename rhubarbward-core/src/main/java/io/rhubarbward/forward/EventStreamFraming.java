package io.rhubarbward.forward;

import io.rhubarbward.request.HeaderFields;
import java.nio.ByteBuffer;
import java.util.Locale;

/**
 * Tells whether an event stream may be complete when its body has ended.
 *
 * <p>Each event ends with an empty line. A body without length and chunks ends with its connection,
 * so that the last event is the only sign of a stream that broke off.
 */
final class EventStreamFraming {
    private static final String EVENT_STREAM = "text/event-stream";

    private final boolean mEventStream;
    private final boolean mDelimitedByClose;
    private boolean mEmpty = true;
    private byte mLastByte;
    private boolean mLineEmpty = true;
    private boolean mAfterEmptyLine = true;

    EventStreamFraming(HeaderFields head) {
        mEventStream =
                head.first("content-type")
                        .filter(type -> type.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM))
                        .isPresent();
        mDelimitedByClose =
                head.first("content-length").isEmpty() && head.first("transfer-encoding").isEmpty();
    }

    /** Reads a part of the body, and leaves its position unchanged. */
    void read(ByteBuffer part) {
        if (!mEventStream) {
            return;
        }
        for (int i = part.position(); i < part.limit(); i++) {
            read(part.get(i));
        }
    }

    private void read(byte next) {
        boolean secondOfLineBreak = next == '\n' && mLastByte == '\r';
        mEmpty = false;
        mLastByte = next;
        if (secondOfLineBreak) {
            return;
        }
        boolean lineBreak = next == '\n' || next == '\r';
        mAfterEmptyLine = lineBreak && mLineEmpty;
        mLineEmpty = lineBreak;
    }

    /** Returns whether the body that has ended now may be whole. */
    boolean mayBeComplete() {
        return !mEventStream || (mAfterEmptyLine && !(mEmpty && mDelimitedByClose));
    }
}
