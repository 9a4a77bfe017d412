package io.rhubarbward.net.http;

import io.netty.handler.codec.DecoderException;
import io.rhubarbward.request.ConnectionRefusal;

/** A request is not decoded further, for a cause that is not in its syntax. */
final class RequestRefusedException extends DecoderException {
    private static final long serialVersionUID = 1;

    private final ConnectionRefusal mRefusal;

    RequestRefusedException(ConnectionRefusal refusal) {
        super(refusal.label());
        mRefusal = refusal;
    }

    ConnectionRefusal refusal() {
        return mRefusal;
    }

    /** Omits the stack trace: refusals must cost little, and the cause names the place. */
    @Override
    public synchronized Throwable fillInStackTrace() {
        return this;
    }
}
