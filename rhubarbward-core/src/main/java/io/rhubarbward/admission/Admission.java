package io.rhubarbward.admission;

import io.rhubarbward.config.ClientAccount;
import io.rhubarbward.config.Settings;
import io.rhubarbward.config.Sha256;
import io.rhubarbward.quota.QuotaKey;
import io.rhubarbward.quota.QuotaService;
import io.rhubarbward.quota.QuotaService.QuotaPermit;
import io.rhubarbward.quota.QuotaService.QuotaRefusal;
import io.rhubarbward.timer.TimerService;
import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Admission control: finds the client account of a caller and decides whether the account may start
 * a request now.
 */
public final class Admission {
    private final QuotaService mQuotas;
    private final RetryBudget mRetryBudget;
    private final AdmissionQueue mQueue;
    private Map<String, ClientAccount> mAccountsByKeySha256 = Map.of();

    /** Creates an admission control without accounts; their rates come from the quota service. */
    public Admission(QuotaService quotas, TimerService timers) {
        mQuotas = quotas;
        mRetryBudget = new RetryBudget(quotas);
        mQueue = new AdmissionQueue(timers);
    }

    /** Replaces the accounts and queue limits by those of the settings. */
    public void configure(Settings settings) {
        mQueue.configure(settings);
        mAccountsByKeySha256 =
                settings.accounts().values().stream()
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        ClientAccount::keySha256, Function.identity()));
    }

    /** Returns the account to which the bearer key belongs. */
    public Optional<ClientAccount> account(String bearerKey) {
        return Optional.ofNullable(mAccountsByKeySha256.get(Sha256.of(bearerKey)));
    }

    /** Returns the fleet-wide limit on retries. */
    public RetryBudget retryBudget() {
        return mRetryBudget;
    }

    /** Returns the queue in which requests wait while all backend servers are full. */
    public AdmissionQueue queue() {
        return mQueue;
    }

    /** Acquires one request of the account's rate. */
    public CompletionStage<Either<QuotaRefusal, QuotaPermit>> admit(ClientAccount account) {
        return mQuotas.acquire(new QuotaKey.AccountRate(account.name()));
    }
}
