package io.rhubarbward.crash;

import io.rhubarbward.hash.RendezvousHash;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Computes the traits of a request: 64-bit hashes of what other requests may have in common with
 * it. The two low bits tell the kind.
 */
public final class RequestTraits {
    private static final long KIND_BITS = 3;

    /** Limits the number of pairs, which grows with the square of that of the parts. */
    private static final int MAX_PAIRED_PARTS = 6;

    private RequestTraits() {}

    /** What a trait stands for, in the order of how few requests have it in common. */
    private enum Kind {
        /** One prompt part that other requests share. */
        PART,
        /** Two such parts in one prompt. */
        PAIR_OF_PARTS,
        /** All such parts of a prompt, in order. */
        ALL_PARTS,
        /** Path, client account and body. */
        WHOLE_REQUEST;

        private long trait(String text) {
            return RendezvousHash.hash(name() + ' ' + text) & ~KIND_BITS | ordinal();
        }
    }

    /**
     * Returns the traits of a request.
     *
     * @param sharedPartIds the ids of the prompt parts that other requests share
     * @param path the path and query
     * @param account the name of the client account; empty if it has none
     */
    public static List<Long> of(
            List<String> sharedPartIds, String path, String account, ByteBuffer body) {
        Stream<Long> parts = sharedPartIds.stream().map(Kind.PART::trait);
        Stream<Long> allParts =
                sharedPartIds.size() < 2
                        ? Stream.of()
                        : Stream.of(Kind.ALL_PARTS.trait(String.join(",", sharedPartIds)));
        long whole =
                Kind.WHOLE_REQUEST.trait(account + ' ' + path + ' ' + RendezvousHash.hash(body));
        return Stream.of(parts, pairs(sharedPartIds), allParts, Stream.of(whole))
                .flatMap(traits -> traits)
                .toList();
    }

    private static Stream<Long> pairs(List<String> partIds) {
        int paired = Math.min(partIds.size(), MAX_PAIRED_PARTS);
        return IntStream.range(0, paired)
                .boxed()
                .flatMap(
                        first ->
                                IntStream.range(first + 1, paired)
                                        .mapToObj(
                                                second ->
                                                        Kind.PAIR_OF_PARTS.trait(
                                                                partIds.get(first)
                                                                        + ','
                                                                        + partIds.get(second))));
    }

    /** Returns a number that is higher for traits that fewer requests have in common. */
    static long specificity(long trait) {
        return trait & KIND_BITS;
    }
}
