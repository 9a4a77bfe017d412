package io.rhubarbward.quota;

import io.rhubarbward.config.QuotaSettings;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.membership.Membership;
import io.rhubarbward.timer.TimerService;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * What the two sides of quota leases share.
 *
 * @param membership who is live and who owns a key
 * @param capacities how large each limit is now, as this router knows it
 * @param settings how limits are leased
 * @param timers the time
 * @param events the log
 */
record QuotaContext(
        Membership membership,
        Function<QuotaKey, QuotaCapacity> capacities,
        Supplier<QuotaSettings> settings,
        TimerService timers,
        EventLog events) {
    /** Beyond this, an answer is of no use to the request that waits for it. */
    static final long ASK_TIMEOUT_MILLIS = 200;

    /** When a unit of a limit on concurrency may be free again. */
    static final long CONCURRENCY_RETRY_MILLIS = 1000;

    long now() {
        return timers.nowMillis();
    }

    long leaseMillis() {
        return settings.get().leaseMillis();
    }

    String ownVm() {
        return membership.ownVm();
    }

    String custodian(String key) {
        return membership.siteOwner(key).orElse(ownVm());
    }

    boolean custodianOf(String key) {
        return custodian(key).equals(ownVm());
    }

    /** Returns the units that a custodian keeps for routers which do not reach it. */
    int reserve(QuotaCapacity capacity) {
        return (int) (capacity.concurrency() * settings.get().fallbackShare());
    }
}
