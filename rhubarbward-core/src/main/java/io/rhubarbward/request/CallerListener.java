package io.rhubarbward.request;

/** Receives the events of a caller's connection while its request is served. */
public interface CallerListener {
    /** The connection can take more data, or cannot for now because the caller reads slowly. */
    void onWritable(boolean writable);

    /**
     * The caller's connection was closed, by the caller or by this process: see {@link
     * CallerResponse#closeCause}.
     */
    void onGone();
}
