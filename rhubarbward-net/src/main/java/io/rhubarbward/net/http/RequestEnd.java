package io.rhubarbward.net.http;

/** Event of a pipeline: the request in progress has ended, and the next one may be decoded. */
enum RequestEnd {
    INSTANCE
}
