package io.rhubarbward.request;

import io.rhubarbward.config.Service;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Passes a backend server's answer on to the caller and checks whether it is complete.
 *
 * <p>An engine's event stream is complete only if it ends with {@code data: [DONE]}. If it is cut,
 * the caller gets an {@code error} event as its end; any other answer that is cut is ended by
 * closing the caller's connection.
 */
final class AnswerRelay {
    private static final String EVENT_STREAM_TYPE = "text/event-stream";
    private static final String FINAL_EVENT = "data: [DONE]";

    /** Enough for the final event and the line breaks after it. */
    private static final int TAIL_BYTES = 32;

    private final Service mService;
    private final CallerResponse mResponse;
    private final StringBuilder mTail = new StringBuilder();
    private boolean mBegun;
    private boolean mEventStream;
    private boolean mDetached;

    AnswerRelay(Service service, CallerResponse response) {
        mService = service;
        mResponse = response;
    }

    /** Stops passing the answer on, because the caller has disconnected. */
    void detach() {
        mDetached = true;
    }

    /** Returns whether the answer has begun, so that another server's answer cannot replace it. */
    boolean hasBegun() {
        return mBegun;
    }

    void begin(int status, HeaderFields headers) {
        mBegun = true;
        mEventStream =
                mService.kind() == Service.Kind.ENGINE
                        && headers.first("content-type")
                                .filter(type -> type.startsWith(EVENT_STREAM_TYPE))
                                .isPresent();
        if (!mDetached) {
            mResponse.begin(status, HopByHopHeaders.strip(headers));
        }
    }

    void write(ByteBuffer part) {
        if (mEventStream) {
            keepTail(part.duplicate());
        }
        if (!mDetached) {
            mResponse.write(part);
        }
    }

    /** Returns whether the answer is complete with what was written so far. */
    boolean answerComplete() {
        return !mEventStream || mTail.toString().stripTrailing().endsWith(FINAL_EVENT);
    }

    void finish() {
        mResponse.finish();
    }

    /** Ends an incomplete answer in a way that the caller can detect. */
    void cut(Refusal reason) {
        if (mEventStream) {
            String event = "\n\nevent: error\ndata: " + reason.json() + "\n\n";
            mResponse.write(StandardCharsets.UTF_8.encode(event));
            mResponse.finish();
        } else {
            mResponse.abort();
        }
    }

    private void keepTail(ByteBuffer part) {
        int skippedBytes = Math.max(0, part.remaining() - TAIL_BYTES);
        part.position(part.position() + skippedBytes);
        mTail.append(StandardCharsets.ISO_8859_1.decode(part));
        mTail.delete(0, Math.max(0, mTail.length() - TAIL_BYTES));
    }
}
