package io.rhubarbward.net.http;

/**
 * Bounds the sum of what the connections of a process keep in memory for one purpose, such as the
 * heads of requests.
 *
 * <pre>{@code
 * SharedMemory memory = SharedMemory.ofHeap(8192, 8, 5);
 * SharedMemory.Reservation head = memory.reservation();
 * if (head.growTo(bytesSoFar)) {
 *     // keep them
 * }
 * head.release();
 * }</pre>
 *
 * <p>Large reservations get a part of it only, so that small ones always find room beside them.
 * Safe for use by several threads.
 */
public class SharedMemory {
    private final long mSmallBytes;
    private final long mMaxLargeBytes;
    private final long mMaxBytes;
    private long mLargeBytes;
    private long mBytes;

    /**
     * Creates an empty memory.
     *
     * @param smallBytes size up to which a reservation is a small one
     * @param maxLargeBytes bound on the sum of the large reservations
     * @param maxBytes bound on the sum of all reservations
     */
    SharedMemory(long smallBytes, long maxLargeBytes, long maxBytes) {
        mSmallBytes = smallBytes;
        mMaxLargeBytes = maxLargeBytes;
        mMaxBytes = maxBytes;
    }

    /**
     * Returns a memory whose bounds are parts of the largest size of the heap.
     *
     * @param smallBytes size up to which a reservation is a small one
     * @param largeDivisor the part of the heap for large reservations, as a divisor
     * @param divisor the part of the heap for all reservations, as a divisor
     */
    public static SharedMemory ofHeap(long smallBytes, int largeDivisor, int divisor) {
        long heapBytes = Runtime.getRuntime().maxMemory();
        return new SharedMemory(smallBytes, heapBytes / largeDivisor, heapBytes / divisor);
    }

    /** Returns an empty reservation. */
    public Reservation reservation() {
        return new Reservation();
    }

    private synchronized boolean grow(long fromBytes, long toBytes) {
        long addedLargeBytes = largeBytes(toBytes) - largeBytes(fromBytes);
        boolean fits =
                mBytes + toBytes - fromBytes <= mMaxBytes
                        && (addedLargeBytes == 0
                                || mLargeBytes + addedLargeBytes <= mMaxLargeBytes);
        if (fits) {
            mBytes += toBytes - fromBytes;
            mLargeBytes += addedLargeBytes;
        }
        return fits;
    }

    private synchronized void shrink(long fromBytes, long toBytes) {
        mBytes += toBytes - fromBytes;
        mLargeBytes += largeBytes(toBytes) - largeBytes(fromBytes);
    }

    private long largeBytes(long bytes) {
        return bytes > mSmallBytes ? bytes : 0;
    }

    /** The memory that is kept for one request or connection; used by one thread at a time. */
    public final class Reservation {
        private long mReservedBytes;

        /** Reserves so many bytes in all, unless they do not fit; returns whether they do. */
        public boolean growTo(long bytes) {
            boolean fits = bytes <= mReservedBytes || grow(mReservedBytes, bytes);
            if (fits) {
                mReservedBytes = Math.max(mReservedBytes, bytes);
            }
            return fits;
        }

        /** Reserves more or frees some; returns false, and changes nothing, if more don't fit. */
        public boolean resizeTo(long bytes) {
            if (bytes < mReservedBytes) {
                shrink(mReservedBytes, bytes);
                mReservedBytes = bytes;
                return true;
            }
            return growTo(bytes);
        }

        /** Frees what is reserved. */
        public void release() {
            resizeTo(0);
        }
    }
}
