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

/** Says who a caller is and whether its account may start a request now. */
public final class Admission {
    private final QuotaService mQuotas;
    private final RetryBudget mRetryBudget;
    private final AdmissionQueue mQueue;
    private Map<String, ClientAccount> mAccountsByKey = Map.of();

    /** Asks the quota service for the accounts' rates. */
    public Admission(QuotaService quotas, TimerService timers) {
        mQuotas = quotas;
        mRetryBudget = new RetryBudget(quotas);
        mQueue = new AdmissionQueue(timers);
    }

    /** Takes the accounts that the settings declare. */
    public void configure(Settings settings) {
        mQueue.configure(settings);
        mAccountsByKey =
                settings.accounts().values().stream()
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        ClientAccount::keySha256, Function.identity()));
    }

    /** Returns the account to which the bearer key belongs. */
    public Optional<ClientAccount> account(String bearerKey) {
        return Optional.ofNullable(mAccountsByKey.get(Sha256.of(bearerKey)));
    }

    /** Returns the limit on repeated calls. */
    public RetryBudget retryBudget() {
        return mRetryBudget;
    }

    /** Returns where requests wait when all backend servers are full. */
    public AdmissionQueue queue() {
        return mQueue;
    }

    /** Asks for one request of the account's rate. */
    public CompletionStage<Either<QuotaRefusal, QuotaPermit>> admit(ClientAccount account) {
        return mQuotas.acquire(new QuotaKey.AccountRate(account.name()));
    }
}
