package io.rhubarbward.request;

import java.nio.ByteBuffer;

/** Receives a backend server's answer: its head, the parts of its body, then exactly one end. */
public interface BackendListener {
    /** The answer begins. */
    void onHead(int status, HeaderFields headers);

    /** A part of the answer's body. */
    void onPart(ByteBuffer part);

    /** The answer is complete by the rules of HTTP; an end. */
    void onComplete();

    /** The call failed, perhaps before any part of the answer; an end. */
    void onFailure(BackendFailure failure);
}
