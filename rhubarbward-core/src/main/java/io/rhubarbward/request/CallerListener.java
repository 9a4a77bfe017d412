package io.rhubarbward.request;

/** What a caller's connection tells the exchange that serves it. */
public interface CallerListener {
    /** The caller reads again, or has stopped reading for now. */
    void onWritable(boolean writable);

    /** The caller's connection is gone. */
    void onGone();
}
