package io.rhubarbward.net.http;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.request.ConnectionRefusal;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/**
 * What the listeners of a process share: the memory for requests and responses, and the record of
 * the connections that were refused.
 *
 * <pre>{@code
 * HttpResources resources = HttpResources.ofHeap(metrics, events, timers::nowMillis);
 * HttpListener.open(group, address, timers, limits, resources, HttpListener.UNBOUNDED, handler);
 * }</pre>
 */
public final class HttpResources {
    /** Cost up to which a head is a small one; that of callers' requests is 2 to 6 KB. */
    private static final int SMALL_HEAD_BYTES = 8192;

    /** Large heads get an eighth of the heap. */
    private static final int HEAP_DIVISOR_OF_LARGE_HEADS = 8;

    /** All heads get a fifth of the heap; bodies get a third. */
    private static final int HEAP_DIVISOR_OF_HEADS = 5;

    /** Pending bytes of a connection whose client keeps up: those of a paused one are more. */
    private static final int SMALL_PENDING_BYTES = HttpListener.LOW_WATERMARK_BYTES;

    /** Responses of clients that do not keep up get a tenth of the heap. */
    private static final int HEAP_DIVISOR_OF_LARGE_PENDING = 10;

    /** All pending responses get an eighth of the heap. */
    private static final int HEAP_DIVISOR_OF_PENDING = 8;

    /** Size up to which a message of another router is a small one: load reports are. */
    private static final int SMALL_PEER_MESSAGE_BYTES = 65_536;

    /** Large messages of other routers, such as the store's objects, get a tenth of the heap. */
    private static final int HEAP_DIVISOR_OF_LARGE_PEER_MESSAGES = 10;

    /** All unfinished and unread messages of other routers get an eighth of the heap. */
    private static final int HEAP_DIVISOR_OF_PEER_MESSAGES = 8;

    /** At most one log line in this time; the counter has them all. */
    private static final long LOG_PERIOD_MILLIS = 1000;

    /**
     * Why this process closed a connection; absent while it is open, or if the client closed it.
     */
    private static final AttributeKey<ConnectionRefusal> CLOSE_CAUSE =
            AttributeKey.valueOf(HttpResources.class, "closeCause");

    private final RequestBodyMemory mBodies;
    private final SharedMemory mHeads;
    private final SharedMemory mPendingResponses;
    private final SharedMemory mPeerMessages =
            SharedMemory.ofHeap(
                    SMALL_PEER_MESSAGE_BYTES,
                    HEAP_DIVISOR_OF_LARGE_PEER_MESSAGES,
                    HEAP_DIVISOR_OF_PEER_MESSAGES);
    private final BiConsumer<ConnectionRefusal, ConnectionState> mRecorder;

    HttpResources(
            RequestBodyMemory bodies,
            SharedMemory heads,
            SharedMemory pendingResponses,
            BiConsumer<ConnectionRefusal, ConnectionState> recorder) {
        mBodies = bodies;
        mHeads = heads;
        mPendingResponses = pendingResponses;
        mRecorder = recorder;
    }

    /** Returns resources with bounds by the size of the heap, which record no refusals. */
    public static HttpResources ofHeap() {
        return ofHeap(RequestBodyMemory.ofHeap());
    }

    /** Returns such resources with a memory for bodies that exists. */
    static HttpResources ofHeap(RequestBodyMemory bodies) {
        return ofHeap(bodies, (refusal, connection) -> {});
    }

    /**
     * Returns resources with bounds by the size of the heap.
     *
     * @param nowMillis a clock for the rate of log lines
     */
    public static HttpResources ofHeap(
            PrometheusRegistry metrics, EventLog events, LongSupplier nowMillis) {
        Counter counter =
                Counter.builder()
                        .withoutExemplars()
                        .name("rhubarbward_connections_refused_total")
                        .help("Connections that were refused or closed, by cause.")
                        .labelNames("cause")
                        .register(metrics);
        AtomicLong nextLogMillis = new AtomicLong(Long.MIN_VALUE);
        return ofHeap(
                RequestBodyMemory.ofHeap(),
                (refusal, connection) -> {
                    counter.labelValues(refusal.label()).inc();
                    long next = nextLogMillis.get();
                    long now = nowMillis.getAsLong();
                    if (now >= next && nextLogMillis.compareAndSet(next, now + LOG_PERIOD_MILLIS)) {
                        events.log(
                                LogEvent.CONNECTION_REFUSED,
                                EventField.of("cause", refusal.label()),
                                EventField.of("client", connection.client()),
                                EventField.of("pendingBytes", connection.pendingBytes()),
                                EventField.of("requestInProgress", connection.requestInProgress()),
                                EventField.of("detail", connection.detail()));
                    }
                });
    }

    private static HttpResources ofHeap(
            RequestBodyMemory bodies, BiConsumer<ConnectionRefusal, ConnectionState> recorder) {
        return new HttpResources(
                bodies,
                SharedMemory.ofHeap(
                        SMALL_HEAD_BYTES, HEAP_DIVISOR_OF_LARGE_HEADS, HEAP_DIVISOR_OF_HEADS),
                SharedMemory.ofHeap(
                        SMALL_PENDING_BYTES,
                        HEAP_DIVISOR_OF_LARGE_PENDING,
                        HEAP_DIVISOR_OF_PENDING),
                recorder);
    }

    RequestBodyMemory bodies() {
        return mBodies;
    }

    SharedMemory heads() {
        return mHeads;
    }

    SharedMemory pendingResponses() {
        return mPendingResponses;
    }

    /** Returns the memory for messages of other routers that have not ended or wait. */
    public SharedMemory peerMessages() {
        return mPeerMessages;
    }

    /** Counts a refused connection, and logs it unless another one was logged just now. */
    public void record(ConnectionRefusal refusal, Channel channel) {
        mRecorder.accept(refusal, ConnectionState.of(channel));
    }

    /** Closes a connection after {@link #record recording} it. */
    public void close(Channel channel, ConnectionRefusal cause) {
        close(channel, cause, "");
    }

    /** Closes a connection after an error that is not its client's. */
    void closeAfterError(Channel channel, Throwable error) {
        close(channel, ConnectionRefusal.INTERNAL_ERROR, error.toString());
    }

    private void close(Channel channel, ConnectionRefusal cause, String detail) {
        mRecorder.accept(cause, ConnectionState.of(channel).withDetail(detail));
        channel.attr(CLOSE_CAUSE).set(cause);
        channel.close();
    }

    /** Returns the cause that a connection was closed for by {@link #close}; empty without one. */
    static Optional<ConnectionRefusal> closeCause(Channel channel) {
        return Optional.ofNullable(channel.attr(CLOSE_CAUSE).get());
    }
}
