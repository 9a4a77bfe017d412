package io.rhubarbward.quota;

import io.rhubarbward.config.QuotaSettings;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.membership.Membership;
import io.rhubarbward.timer.TimerService;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * The collaborators that the holder side and the custodian side share.
 *
 * @param membership the live routers, from which a key's custodian follows
 * @param capacities returns the current size of a limit, as this router knows it
 * @param settings returns the lease settings in force
 * @param timers the clock and the timers
 * @param events the event log
 */
record QuotaContext(
        Membership membership,
        Function<QuotaKey, QuotaCapacity> capacities,
        Supplier<QuotaSettings> settings,
        TimerService timers,
        EventLog events) {
    /** After this time an ask is abandoned and its answer ignored. */
    static final long ASK_TIMEOUT_MILLIS = 200;

    /** How long to wait before a unit of a concurrency limit is requested again. */
    static final long CONCURRENCY_RETRY_AFTER_MILLIS = 1000;

    long nowMillis() {
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

    boolean isCustodianOf(String key) {
        return custodian(key).equals(ownVm());
    }

    /** Returns the units that a custodian withholds for routers that cannot reach it. */
    int reserve(QuotaCapacity capacity) {
        return (int) (capacity.concurrency() * settings.get().fallbackShare());
    }
}
