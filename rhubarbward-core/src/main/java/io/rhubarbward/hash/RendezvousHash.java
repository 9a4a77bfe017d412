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

    private static long weight(long keyHash, String node) {
        return mix(keyHash ^ hash(node));
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
