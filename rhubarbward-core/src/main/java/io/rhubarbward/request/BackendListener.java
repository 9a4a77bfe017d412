package io.rhubarbward.request;

import java.nio.ByteBuffer;

/** Told of a backend server's answer: a head, parts, then one end. */
public interface BackendListener {
    /** The answer begins. */
    void onHead(int status, HeaderFields headers);

    /** A part of the answer's body. */
    void onPart(ByteBuffer part);

    /** The answer ended whole, as far as HTTP can tell. */
    void onComplete();

    /** The call failed; nothing follows. */
    void onFailure(BackendFailure failure);
}
