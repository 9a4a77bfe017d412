package io.rhubarbward.request;

import io.rhubarbward.config.Service;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Passes one backend server's answer on to the caller and knows whether it is whole.
 *
 * <p>An event stream of an engine is whole only when it ends with {@code data: [DONE]}. One that is
 * cut ends with an {@code error} event; any other answer that is cut ends the connection.
 */
final class AnswerRelay {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final String CLOSING_EVENT = "data: [DONE]";
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

    /** Shows the caller, who has gone, nothing more. */
    void detach() {
        mDetached = true;
    }

    /** Returns whether the caller has been shown anything. */
    boolean begun() {
        return mBegun;
    }

    void begin(int status, HeaderFields headers) {
        mBegun = true;
        mEventStream =
                mService.kind() == Service.Kind.ENGINE
                        && headers.first("content-type")
                                .filter(type -> type.startsWith(EVENT_STREAM))
                                .isPresent();
        if (!mDetached) {
            mResponse.begin(status, HopByHop.strip(headers));
        }
    }

    void write(ByteBuffer part) {
        if (mEventStream) {
            remember(part.duplicate());
        }
        if (!mDetached) {
            mResponse.write(part);
        }
    }

    /** Returns whether what was written so far is the whole answer. */
    boolean whole() {
        return !mEventStream || mTail.toString().stripTrailing().endsWith(CLOSING_EVENT);
    }

    void finish() {
        mResponse.finish();
    }

    /** Ends an answer that is not whole, so that the caller can tell. */
    void cut(Refusal reason) {
        if (mEventStream) {
            String event = "\n\nevent: error\ndata: " + reason.json() + "\n\n";
            mResponse.write(StandardCharsets.UTF_8.encode(event));
            mResponse.finish();
        } else {
            mResponse.abort();
        }
    }

    private void remember(ByteBuffer part) {
        int skipped = Math.max(0, part.remaining() - TAIL_BYTES);
        part.position(part.position() + skipped);
        mTail.append(StandardCharsets.ISO_8859_1.decode(part));
        mTail.delete(0, Math.max(0, mTail.length() - TAIL_BYTES));
    }
}
