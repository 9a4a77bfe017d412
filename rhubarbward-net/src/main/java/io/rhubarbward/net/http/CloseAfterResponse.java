package io.rhubarbward.net.http;

/** Event of a pipeline: the connection closes after the response in progress, or at once. */
enum CloseAfterResponse {
    INSTANCE
}
