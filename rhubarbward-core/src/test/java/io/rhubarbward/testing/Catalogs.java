package io.rhubarbward.testing;

import io.rhubarbward.catalog.CallerLimits;
import io.rhubarbward.catalog.Catalog;
import io.rhubarbward.catalog.KeyedAccount;
import io.rhubarbward.catalog.Route;
import io.rhubarbward.catalog.RouteKind;
import io.rhubarbward.catalog.ServiceProfile;
import io.rhubarbward.catalog.WeightedService;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/** Builds catalogues with one host, an engine service, a plain service and one account. */
public final class Catalogs {
    public static final String HOST = "api.example";
    public static final String API_KEY = "key-1";
    public static final ServiceProfile ENGINE_SERVICE =
            new ServiceProfile("chat", 100, Duration.ofSeconds(3), 20, true);
    public static final ServiceProfile PLAIN_SERVICE =
            new ServiceProfile("orders", 100, Duration.ZERO, 0, false);

    private Catalogs() {}

    public static Catalog of(long version, Route... routes) {
        return withAccounts(
                version,
                Optional.of(
                        List.of(new KeyedAccount("acme", List.of(API_KEY), OptionalInt.empty()))),
                routes);
    }

    /** Returns a catalogue with the accounts; empty if callers need no key. */
    public static Catalog withAccounts(
            long version, Optional<List<KeyedAccount>> accounts, Route... routes) {
        return new Catalog(
                version,
                List.of(routes),
                List.of(ENGINE_SERVICE, PLAIN_SERVICE),
                accounts,
                new CallerLimits(16_384, 1_000_000, 3000, 15_000));
    }

    public static Route route(String name, String prefix, RouteKind kind) {
        String service = kind == RouteKind.STREAMING ? "chat" : "orders";
        return route(name, prefix, kind, List.of(new WeightedService(service, 1)), 2);
    }

    public static Route route(String name, RouteKind kind, List<WeightedService> targets) {
        return route(name, "/" + name + "/", kind, targets, 2);
    }

    public static Route route(
            String name,
            String prefix,
            RouteKind kind,
            List<WeightedService> targets,
            int maxAttempts) {
        return new Route(
                name,
                HOST,
                prefix,
                kind,
                targets,
                Duration.ofSeconds(2),
                Duration.ofMillis(300),
                maxAttempts,
                1,
                false,
                false);
    }
}
