package io.rhubarbward.net.http;

/**
 * Bounds the memory that the bodies of callers' requests take up in a process, from their arrival
 * to the end of the answer.
 *
 * <pre>{@code
 * RequestBodyMemory memory = RequestBodyMemory.ofHeap();
 * RequestBodyMemory.Reservation body = memory.reservation();
 * if (body.growTo(contentLength)) {
 *     // receive it, run the request
 * }
 * body.release();
 * }</pre>
 *
 * <p>Large bodies get a part of it only, so that small ones always find room beside them.
 */
public final class RequestBodyMemory extends SharedMemory {
    /** Size up to which a body is a small one; prompts and forms are smaller. */
    private static final int SMALL_BODY_BYTES = 128 * 1024;

    /** All bodies get a third of the heap: other state and the collector need the rest. */
    private static final int HEAP_DIVISOR = 3;

    /** Large bodies get a quarter of the heap. */
    private static final int HEAP_DIVISOR_OF_LARGE_BODIES = 4;

    /**
     * Creates an empty memory.
     *
     * @param smallBodyBytes size up to which a body is a small one
     * @param maxLargeBytes bound on the sum of the large bodies
     * @param maxBytes bound on the sum of all bodies
     */
    RequestBodyMemory(long smallBodyBytes, long maxLargeBytes, long maxBytes) {
        super(smallBodyBytes, maxLargeBytes, maxBytes);
    }

    /** Returns a memory whose bounds are parts of the largest size of the heap. */
    public static RequestBodyMemory ofHeap() {
        long heapBytes = Runtime.getRuntime().maxMemory();
        return new RequestBodyMemory(
                SMALL_BODY_BYTES,
                heapBytes / HEAP_DIVISOR_OF_LARGE_BODIES,
                heapBytes / HEAP_DIVISOR);
    }
}
