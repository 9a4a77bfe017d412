package io.rhubarbward.bench.execution;

import io.rhubarbward.config.Sha256;
import io.rhubarbward.request.HeaderField;
import io.rhubarbward.request.claim.ClaimKey;
import io.rhubarbward.request.claim.ClaimRequest;
import io.rhubarbward.request.claim.ClaimResult;
import io.rhubarbward.request.claim.ClaimStore;
import io.rhubarbward.request.claim.StoredAnswer;
import io.rhubarbward.store.ObjectStore;
import io.rhubarbward.store.memory.MemoryObjectStore;
import io.rhubarbward.store.memory.PlatformFaults;
import io.rhubarbward.timer.VirtualTimerService;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.IntStream;

/**
 * Counts what claims cost the platform: calls and bytes for each, over many routers.
 *
 * <p>The program's arguments are the number of routers, claims a second over all of them, and
 * seconds of virtual time.
 */
public final class ClaimCost {
    private static final int ANSWER_BYTES = 200;
    private static final Duration WORK = Duration.ofMillis(100);
    private static final int STORE_DELAY_MILLIS = 5;

    private ClaimCost() {}

    /** Runs the program. */
    public static void main(String[] args) {
        int routers = Integer.parseInt(args[0]);
        int rate = Integer.parseInt(args[1]);
        int seconds = Integer.parseInt(args[2]);
        VirtualTimerService timers = new VirtualTimerService();
        MemoryObjectStore store = new MemoryObjectStore(timers);
        store.faults(PlatformFaults.NONE.withDelayMillis(STORE_DELAY_MILLIS));
        List<ClaimStore> claims =
                IntStream.range(0, routers)
                        .mapToObj(index -> new ClaimStore(store, timers, "entry-" + index))
                        .toList();
        SplittableRandom random = new SplittableRandom(1);
        int count = rate * seconds;
        for (int key = 0; key < count; key++) {
            claimAndAnswer(claims.get(random.nextInt(routers)), "key-" + key, timers);
            timers.advance(Duration.ofSeconds(1).dividedBy(rate));
        }
        timers.advance(Duration.ofSeconds(1));
        System.out.printf(
                "claims %d, writes a claim %.3f, reads a claim %.3f, writes/s %.1f, stored bytes"
                        + " a claim %.0f%n",
                count,
                (double) store.writes() / count,
                (double) store.reads() / count,
                (double) store.writes() / seconds,
                (double) storedBytes(store, timers) / count);
    }

    private static void claimAndAnswer(ClaimStore claims, String key, VirtualTimerService timers) {
        ClaimRequest request =
                new ClaimRequest(
                        ClaimKey.of("acme", "orders", key),
                        Sha256.of(key).substring(0, ClaimKey.ID_DIGITS),
                        Duration.ofMinutes(5),
                        Duration.ofDays(1));
        StoredAnswer answer =
                StoredAnswer.of(
                        201,
                        List.of(new HeaderField("content-type", "application/json")),
                        "x".repeat(ANSWER_BYTES).getBytes(StandardCharsets.UTF_8));
        claims.claim(request)
                .thenAccept(
                        result -> {
                            if (result instanceof ClaimResult.Granted granted) {
                                timers.after(
                                        WORK, () -> claims.recordAnswer(granted.ticket(), answer));
                            }
                        });
    }

    private static long storedBytes(ObjectStore store, VirtualTimerService timers) {
        LongAdder bytes = new LongAdder();
        store.list("claims/")
                .thenAccept(listed -> listed.get().forEach(item -> add(store, item, bytes)));
        timers.advance(Duration.ofSeconds(1));
        return bytes.sum();
    }

    private static void add(ObjectStore store, ObjectStore.Listed item, LongAdder bytes) {
        store.read(item.key()).thenAccept(read -> bytes.add(read.get().value().length()));
    }
}
