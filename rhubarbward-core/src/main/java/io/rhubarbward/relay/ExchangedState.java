package io.rhubarbward.relay;

import io.rhubarbward.admission.AccountUsage;
import io.rhubarbward.crash.CrashSuspects;
import io.rhubarbward.move.FleetRollouts;
import io.rhubarbward.placement.ServerTable;
import java.util.function.Predicate;

/**
 * The parts of a router whose figures {@link LoadExchange} sends to other routers and to which it
 * gives theirs.
 *
 * @param suspects what this router knows of requests that crash servers
 * @param rollouts counts and judges the answers of versions on trial
 * @param table counts this router's requests in flight and takes those of the others
 * @param usage counts the places of this router's requests by account and takes those of the others
 * @param wantsRoom whether so much of the named service is occupied that routers need each other's
 *     counts by account
 */
public record ExchangedState(
        CrashSuspects suspects,
        FleetRollouts rollouts,
        ServerTable table,
        AccountUsage usage,
        Predicate<String> wantsRoom) {}
