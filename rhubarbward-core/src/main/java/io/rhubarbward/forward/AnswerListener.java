package io.rhubarbward.forward;

import io.rhubarbward.request.HeaderFields;
import java.nio.ByteBuffer;

/** Receives the genuine answer to a request. */
interface AnswerListener {
    /** The answer begins. */
    void onHead(int status, HeaderFields headers);

    /** A part of the answer's body. */
    void onPart(ByteBuffer part);

    /** The answer is complete; an end. */
    void onComplete();
}
