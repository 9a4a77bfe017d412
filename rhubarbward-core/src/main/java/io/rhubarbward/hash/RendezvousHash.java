package io.rhubarbward.hash;

import java.nio.ByteBuffer;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Orders nodes by rendezvous hashing: a node that is added or removed leaves the order of the other
 * nodes unchanged for every key.
 *
 * <p>Also known as highest random weight: a node's weight for a key is a 64-bit hash of both.
 */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** Scales a 53-bit integer, the precision of a double, to the range from 0 to 1. */
    private static final double UNIT = 0x1.0p-53;

    /** Bits of a 64-bit hash beyond the precision of a double. */
    private static final int UNUSED_BITS = 11;

    private RendezvousHash() {}

    /** Returns the nodes in descending order of their weights for the key. */
    public static <T> List<T> order(String key, List<T> nodes, Function<T, String> name) {
        long keyHash = hash(key);
        return nodes.stream()
                .map(node -> new Weighted<>(node, weight(keyHash, name.apply(node))))
                .sorted(Comparator.comparingLong(Weighted<T>::weight).reversed())
                .map(Weighted::node)
                .toList();
    }

    /**
     * Returns the FNV-1a hash of the text's UTF-16 code units, mixed to spread over all 64 bits.
     */
    public static long hash(String text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Returns the FNV-1a hash of the remaining bytes, mixed to spread over all 64 bits. */
    public static long hash(ByteBuffer bytes) {
        long hash = FNV_OFFSET;
        for (int i = bytes.position(); i < bytes.limit(); i++) {
            hash = (hash ^ (bytes.get(i) & 0xff)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Hashes a text to a number from 0 (inclusive) to 1 (exclusive), the same at every router. */
    public static double unitHash(String text) {
        return (hash(text) >>> UNUSED_BITS) * UNIT;
    }

    /**
     * Hashes a number from 0 (inclusive) to 1 (exclusive) to another one, for a decision that must
     * not depend on the decisions made by the first.
     */
    public static double rehash(double unitHash) {
        return (mix(Double.doubleToLongBits(unitHash)) >>> UNUSED_BITS) * UNIT;
    }

    private static long weight(long keyHash, String node) {
        return weight(keyHash, hash(node));
    }

    /** Returns the weight of a node for a key, by the {@link #hash(String)} of each. */
    public static long weight(long keyHash, long nodeHash) {
        return mix(keyHash ^ nodeHash);
    }

    /** The finalizer of SplitMix64. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }

    /** A node and its weight for the key. */
    private record Weighted<T>(T node, long weight) {}
}
