package io.rhubarbward.catalog;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * One version of what operators publish.
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
    private final Map<String, KeyedAccount> mAccountsByKey;

    /** Describes a version; where accounts share a key, the first one holds it. */
    public Catalog(
            long version,
            List<Route> routes,
            List<ServiceProfile> services,
            List<KeyedAccount> accounts,
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
        mAccountsByKey =
                accounts.stream()
                        .flatMap(
                                account ->
                                        account.keys().stream().map(key -> Map.entry(key, account)))
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        Map.Entry::getKey,
                                        Map.Entry::getValue,
                                        (first, second) -> first));
    }

    /** Returns the version; versions grow. */
    public long version() {
        return mVersion;
    }

    /** Returns what callers may send. */
    public CallerLimits limits() {
        return mLimits;
    }

    /** Returns all routes. */
    public List<Route> routes() {
        return mRoutes;
    }

    /** Returns the host's route with the longest prefix that begins the path. */
    public Optional<Route> route(String host, String path) {
        return mRoutesByHost.getOrDefault(host, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /** Returns the service of that name. */
    public Optional<ServiceProfile> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Returns the account that holds the key. */
    public Optional<KeyedAccount> account(String key) {
        return Optional.ofNullable(mAccountsByKey.get(key));
    }

    /** Returns whether callers need a key at all. */
    public boolean hasApiKeys() {
        return !mAccountsByKey.isEmpty();
    }
}
