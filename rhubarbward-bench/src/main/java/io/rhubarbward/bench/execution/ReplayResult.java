package io.rhubarbward.bench.execution;

import java.util.Map;

/**
 * What a replay came to.
 *
 * @param keys keys that were used
 * @param sends requests that callers sent
 * @param runs times that a service ran one of them
 * @param keysRunTwice keys that ran more than once; must be 0
 * @param untrueNotRun requests that were refused as not-run and ran; must be 0
 * @param crossedAnswers answers that belong to another key; must be 0
 * @param kills routers that died
 * @param diedClaiming requests whose router died before it sent them
 * @param diedSent requests whose router died between sending and the answer's end
 * @param outcomes how callers were answered, by status or refusal code
 * @param claimWrites writes to the store for claims, with those of routers that died
 * @param claimReads reads of the store for claims
 * @param lateEffects writes that took effect after they had been given up
 */
public record ReplayResult(
        int keys,
        int sends,
        int runs,
        int keysRunTwice,
        int untrueNotRun,
        int crossedAnswers,
        int kills,
        int diedClaiming,
        int diedSent,
        Map<String, Integer> outcomes,
        long claimWrites,
        long claimReads,
        long lateEffects) {}
