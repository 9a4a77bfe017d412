package io.rhubarbward.admission;

import io.rhubarbward.quota.QuotaKey;
import io.rhubarbward.quota.QuotaService;
import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;

/**
 * Limits the rate at which the whole fleet retries backend calls, so that a fault does not multiply
 * the load.
 *
 * <pre>{@code
 * budget.acquire("assistant").thenAccept(granted -> { if (granted) tryNext(); });
 * }</pre>
 */
public final class RetryBudget {
    private final QuotaService mQuotas;

    RetryBudget(QuotaService quotas) {
        mQuotas = quotas;
    }

    /** Asks for one retry of a call of the service; completes with whether it may be made. */
    public CompletionStage<Boolean> acquire(String service) {
        return mQuotas.acquire(new QuotaKey.RetryBudget(service)).thenApply(Either::isRight);
    }
}
