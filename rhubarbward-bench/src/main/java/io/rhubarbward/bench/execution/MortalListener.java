package io.rhubarbward.bench.execution;

import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.request.BackendListener;
import io.rhubarbward.request.HeaderFields;
import java.nio.ByteBuffer;

/** Tells a process of an answer for as long as the process lives. */
record MortalListener(BackendListener listener, MortalTimers process) implements BackendListener {
    @Override
    public void onHead(int status, HeaderFields headers) {
        process.run(() -> listener.onHead(status, headers));
    }

    @Override
    public void onPart(ByteBuffer part) {
        process.run(() -> listener.onPart(part));
    }

    @Override
    public void onComplete() {
        process.run(listener::onComplete);
    }

    @Override
    public void onFailure(BackendFailure failure) {
        process.run(() -> listener.onFailure(failure));
    }
}
