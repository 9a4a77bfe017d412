package io.rhubarbward.net.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ByteProcessor;

/**
 * Finds the beginning of a response within bytes that belong to another one. It shows that the
 * other one was cut short and that its connection went on.
 */
final class StatusLineScanner {
    private static final String VERSION = "HTTP/1.1 ";

    /** How many characters of the version the bytes that were read last match. */
    private int mMatched;

    private final ByteProcessor mProcessor =
            value -> {
                mMatched =
                        value == VERSION.charAt(mMatched)
                                ? mMatched + 1
                                : value == VERSION.charAt(0) ? 1 : 0;
                return mMatched < VERSION.length();
            };

    /** Starts anew, with another response. */
    void reset() {
        mMatched = 0;
    }

    /** Returns whether a status line begins in the body's next bytes. */
    boolean beginsWithin(ByteBuf body) {
        boolean found = body.forEachByte(mProcessor) >= 0;
        if (found) {
            reset();
        }
        return found;
    }

    /** Returns whether a status line begins in the head, after its own. */
    static boolean beginsWithin(HttpResponse head) {
        return head.status().reasonPhrase().contains(VERSION)
                || head.headers().entries().stream()
                        .anyMatch(field -> field.getValue().contains(VERSION));
    }
}
