package io.rhubarbward.quota;

import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;

/**
 * Hands out parts of shared limits to the requests of this router.
 *
 * <pre>{@code
 * quotas.acquire(new QuotaKey.BackendConcurrency("assistant-3"))
 *         .thenAccept(granted -> granted.peek(this::send).peekLeft(this::tryNext));
 * }</pre>
 */
public interface QuotaService {
    /** Asks for one unit; the stage completes on the timer service's thread. */
    CompletionStage<Either<QuotaRefusal, QuotaPermit>> acquire(QuotaKey key);

    /** One unit of a limit, in use until released. */
    @FunctionalInterface
    interface QuotaPermit {
        /** Gives the unit back; a unit of a rate is spent and does not return. */
        void release();
    }

    /**
     * Why no unit was granted.
     *
     * @param key the limit
     * @param retryAfterMillis when a unit may be free again
     */
    record QuotaRefusal(QuotaKey key, long retryAfterMillis) {}
}
