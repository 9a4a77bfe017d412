package io.rhubarbward.quota;

import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;

/**
 * Grants units of limits that all routers enforce together to the requests of this router.
 *
 * <pre>{@code
 * quotas.acquire(new QuotaKey.BackendConcurrency("assistant-3"))
 *         .thenAccept(granted -> granted.peek(this::send).peekLeft(this::tryNext));
 * }</pre>
 */
public interface QuotaService {
    /** Requests one unit; the stage completes on the timer service's thread. */
    CompletionStage<Either<QuotaRefusal, QuotaPermit>> acquire(QuotaKey key);

    /** One granted unit of a limit, in use until released. */
    @FunctionalInterface
    interface QuotaPermit {
        /** Gives the unit back; has no effect for a unit of a rate limit, which is spent. */
        void release();
    }

    /**
     * Why no unit was granted.
     *
     * @param key the limit that is exhausted
     * @param retryAfterMillis how long to wait until a unit may be free again
     */
    record QuotaRefusal(QuotaKey key, long retryAfterMillis) {}
}
