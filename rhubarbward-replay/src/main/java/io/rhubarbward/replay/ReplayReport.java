package io.rhubarbward.replay;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * What a replay found.
 *
 * @param site the trace's site
 * @param promises for each promise, how often it was checked and broken
 * @param firstBreaches the first breach of each broken promise, with what led to it
 * @param measures the users' measures by name
 */
public record ReplayReport(
        String site,
        List<Kept> promises,
        List<PromiseLog.Breach> firstBreaches,
        Map<String, Object> measures) {
    static ReplayReport of(String site, PromiseLog log, Map<String, Object> measures) {
        List<Kept> kept =
                Arrays.stream(Promise.values())
                        .map(
                                promise ->
                                        new Kept(
                                                promise,
                                                log.checks(promise),
                                                log.breaches(promise)))
                        .toList();
        return new ReplayReport(site, kept, log.firsts(), measures);
    }

    /** Returns whether every promise that was checked held. */
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

    /** Returns the report as a table for people. */
    public String table() {
        String kept =
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
        String measured =
                measures.entrySet().stream()
                        .map(entry -> String.format("%-40s %s", entry.getKey(), entry.getValue()))
                        .collect(Collectors.joining("\n"));
        String breach =
                firstBreaches.stream().map(ReplayReport::show).collect(Collectors.joining());
        return "site " + site + "\n" + kept + "\n\n" + measured + breach;
    }

    private static String show(PromiseLog.Breach breach) {
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
     * How a promise was kept.
     *
     * @param promise which
     * @param checks how often it was checked
     * @param breaches how often it did not hold
     */
    public record Kept(Promise promise, long checks, long breaches) {}
}
