package io.rhubarbward.catalog;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * An immutable version of the routing catalogue.
 *
 * <pre>{@code
 * Optional<Route> route = catalog.route("api.example", "/chat/7");
 * }</pre>
 */
public final class Catalog {
    private final long mVersion;
    private final CallerLimits mLimits;
    private final List<Route> mRoutes;
    private final Map<String, List<Route>> mRoutesByHost;
    private final Map<String, ServiceProfile> mServices;
    private final Map<String, SortedSet<Integer>> mPrioritiesByService;
    private final boolean mRequiresKeys;
    private final Map<String, KeyedAccount> mAccountsByKey;

    /**
     * Creates a version of the catalogue; the first of several accounts with one key gets the key.
     *
     * @param accounts the accounts whose keys authenticate callers, possibly without any key; empty
     *     if callers need no key
     */
    public Catalog(
            long version,
            List<Route> routes,
            List<ServiceProfile> services,
            Optional<List<KeyedAccount>> accounts,
            CallerLimits limits) {
        mVersion = version;
        mLimits = limits;
        mRoutes = List.copyOf(routes);
        mRoutesByHost =
                routes.stream()
                        .sorted(
                                Comparator.comparingInt(
                                        (Route route) -> -route.pathPrefix().length()))
                        .collect(Collectors.groupingBy(Route::host));
        mServices =
                services.stream()
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        ServiceProfile::name,
                                        Function.identity(),
                                        (first, second) -> first));
        mPrioritiesByService =
                routes.stream()
                        .flatMap(
                                route ->
                                        route.targets().stream()
                                                .map(
                                                        target ->
                                                                Map.entry(
                                                                        target.service(),
                                                                        route.priority())))
                        .collect(
                                Collectors.groupingBy(
                                        Map.Entry::getKey,
                                        Collectors.mapping(
                                                Map.Entry::getValue,
                                                Collectors.toCollection(TreeSet::new))));
        mRequiresKeys = accounts.isPresent();
        mAccountsByKey =
                accounts.stream()
                        .flatMap(List::stream)
                        .flatMap(
                                account ->
                                        account.keys().stream().map(key -> Map.entry(key, account)))
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        Map.Entry::getKey,
                                        Map.Entry::getValue,
                                        (first, second) -> first));
    }

    /** Returns the version; a later catalogue has a higher one. */
    public long version() {
        return mVersion;
    }

    /** Returns the limits of callers' requests. */
    public CallerLimits limits() {
        return mLimits;
    }

    /** Returns all routes in the order in which they were published. */
    public List<Route> routes() {
        return mRoutes;
    }

    /** Returns the host's route with the longest path prefix that matches the path. */
    public Optional<Route> route(String host, String path) {
        return mRoutesByHost.getOrDefault(host, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /** Returns the service with the name. */
    public Optional<ServiceProfile> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /**
     * Returns the rank of a request with the priority: how many of the distinct priorities of the
     * service's routes are more urgent.
     */
    public int rank(String service, int priority) {
        SortedSet<Integer> priorities = mPrioritiesByService.get(service);
        return priorities == null ? 0 : priorities.headSet(priority).size();
    }

    /** Returns the account that the API key belongs to. */
    public Optional<KeyedAccount> account(String key) {
        return Optional.ofNullable(mAccountsByKey.get(key));
    }

    /**
     * Returns whether callers need an API key, except on routes that allow anonymous ones. They may
     * need one that no account holds, so that all are refused.
     */
    public boolean requiresKeys() {
        return mRequiresKeys;
    }
}
