package io.rhubarbward.replay;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The result of a replay.
 *
 * @param site the name of the trace's site
 * @param promises how often each promise was checked and broken, in the order of {@link Promise}
 * @param firstBreaches the first breach of each broken promise, with the events before it
 * @param measures counters and quantiles by name, such as refusals and cache reuse
 */
public record ReplayReport(
        String site,
        List<Kept> promises,
        List<PromiseChecker.Breach> firstBreaches,
        Map<String, Object> measures) {
    static ReplayReport of(String site, PromiseChecker checker, Map<String, Object> measures) {
        List<Kept> kept =
                Arrays.stream(Promise.values())
                        .map(
                                promise ->
                                        new Kept(
                                                promise,
                                                checker.checks(promise),
                                                checker.breaches(promise)))
                        .toList();
        return new ReplayReport(site, kept, checker.firstBreaches(), measures);
    }

    /** Returns whether no promise was broken; a promise that was never checked counts as held. */
    public boolean held() {
        return firstBreaches.isEmpty();
    }

    /** Returns how often the promise was checked. */
    public long checks(Promise promise) {
        return promises.get(promise.ordinal()).checks();
    }

    /** Returns how often the promise was broken. */
    public long breaches(Promise promise) {
        return promises.get(promise.ordinal()).breaches();
    }

    /** Returns the report as text for people to read. */
    public String table() {
        String promiseLines =
                promises.stream()
                        .map(
                                p ->
                                        String.format(
                                                "%-24s %10d checks %6d breaches%s",
                                                p.promise().label(),
                                                p.checks(),
                                                p.breaches(),
                                                p.checks() == 0 ? "  NOT CHECKED" : ""))
                        .collect(Collectors.joining("\n"));
        String measureLines =
                measures.entrySet().stream()
                        .map(entry -> String.format("%-40s %s", entry.getKey(), entry.getValue()))
                        .collect(Collectors.joining("\n"));
        String breachLines =
                firstBreaches.stream().map(ReplayReport::describe).collect(Collectors.joining());
        return "site " + site + "\n" + promiseLines + "\n\n" + measureLines + breachLines;
    }

    private static String describe(PromiseChecker.Breach breach) {
        return "\n\nfirst breach at "
                + breach.atMillis()
                + " ms: "
                + breach.promise().label()
                + ": "
                + breach.detail()
                + "\n  "
                + String.join("\n  ", breach.lastEvents());
    }

    /**
     * How often a promise was checked and broken.
     *
     * @param promise the promise
     * @param checks how often it was checked
     * @param breaches how often it did not hold
     */
    public record Kept(Promise promise, long checks, long breaches) {}
}
