package io.rhubarbward.net.backend;

import io.netty.handler.codec.CorruptedFrameException;

/** A response's status is none that a response to the request may have. */
final class InvalidStatusException extends CorruptedFrameException {
    private static final long serialVersionUID = 1;

    InvalidStatusException(String status) {
        super("status " + status + ": expected 100 to 599 except 101");
    }
}
