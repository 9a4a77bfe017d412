package io.rhubarbward.bench.routing;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.config.Settings;
import io.rhubarbward.engine.BackendStatus;
import io.rhubarbward.hash.RendezvousHash;
import io.rhubarbward.routing.BoundedAffinity;
import io.rhubarbward.routing.RouteQuery;
import io.rhubarbward.routing.RoutingPolicy;
import io.rhubarbward.routing.VersionFilter;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** The policies that the replay compares; each router has one of its own. */
enum ReplayPolicy {
    /** What routers run. */
    BOUNDED_AFFINITY {
        @Override
        RoutingPolicy create() {
            return new BoundedAffinity(VersionFilter.ALL);
        }

        @Override
        boolean boundedByCustodian() {
            return true;
        }

        @Override
        double multiple() {
            return 1.25;
        }
    },
    /** The same with a wider bound. */
    BOUNDED_AFFINITY_1_5 {
        @Override
        RoutingPolicy create() {
            return new BoundedAffinity(VersionFilter.ALL);
        }

        @Override
        boolean boundedByCustodian() {
            return true;
        }

        @Override
        double multiple() {
            return 1.5;
        }
    },
    /** The same with a bound wider still. */
    BOUNDED_AFFINITY_2 {
        @Override
        RoutingPolicy create() {
            return new BoundedAffinity(VersionFilter.ALL);
        }

        @Override
        boolean boundedByCustodian() {
            return true;
        }

        @Override
        double multiple() {
            return 2;
        }
    },
    /** What routers ran before: a bound that each router holds by late reports. */
    BOUNDED_BEFORE {
        @Override
        RoutingPolicy create() {
            return bounded(BackendStatus::load);
        }
    },
    BOUNDED_OWN_COUNTS {
        @Override
        RoutingPolicy create() {
            return bounded(BackendStatus::inFlight);
        }
    },
    PLAIN_RENDEZVOUS {
        @Override
        RoutingPolicy create() {
            return (query, settings, servers) -> names(order(query, open(servers)));
        }
    },
    TWO_CHOICES {
        @Override
        RoutingPolicy create() {
            return (query, settings, servers) -> twoChoices(order(query, open(servers)));
        }
    },
    QUEUE_AWARE {
        @Override
        RoutingPolicy create() {
            return (query, settings, servers) -> queueAware(order(query, open(servers)));
        }
    },
    LEAST_LOADED {
        @Override
        RoutingPolicy create() {
            return (query, settings, servers) -> names(byLoad(open(servers)));
        }
    },
    ROUND_ROBIN {
        @Override
        RoutingPolicy create() {
            return new RoundRobin();
        }
    };

    private static final double DEFAULT_MULTIPLE = 1.25;
    private static final double QUEUE_SHARE = 0.9;

    abstract RoutingPolicy create();

    /** Returns whether the engines' custodians hold them to the bound. */
    boolean boundedByCustodian() {
        return false;
    }

    double multiple() {
        return DEFAULT_MULTIPLE;
    }

    private static RoutingPolicy bounded(ToDoubleFunction<BackendStatus> load) {
        return (query, settings, servers) -> bounded(query, settings, open(servers), load);
    }

    private static List<BackendServer> bounded(
            RouteQuery query,
            Settings settings,
            List<BackendStatus> open,
            ToDoubleFunction<BackendStatus> load) {
        double mean = open.stream().mapToDouble(load).average().orElse(0);
        double bound = Math.ceil((mean + 1) * settings.routing().boundedLoadMultiple());
        List<BackendStatus> ordered = order(query, open);
        return Stream.concat(
                        ordered.stream().filter(s -> load.applyAsDouble(s) < bound),
                        ordered.stream().filter(s -> load.applyAsDouble(s) >= bound))
                .map(BackendStatus::server)
                .toList();
    }

    private static List<BackendServer> twoChoices(List<BackendStatus> ordered) {
        return names(
                Stream.concat(
                                byLoad(ordered.stream().limit(2).toList()).stream(),
                                ordered.stream().skip(2))
                        .toList());
    }

    /** Keeps the chat at its engine unless that one's report shows a queue or a full batch. */
    private static List<BackendServer> queueAware(List<BackendStatus> ordered) {
        return names(
                Stream.concat(
                                ordered.stream().limit(1).filter(s -> !queues(s)),
                                byLoad(ordered).stream())
                        .distinct()
                        .toList());
    }

    private static boolean queues(BackendStatus status) {
        return status.load() >= QUEUE_SHARE * status.capacity();
    }

    private static List<BackendStatus> open(List<BackendStatus> servers) {
        return servers.stream().filter(s -> s.state().takesNewWork()).toList();
    }

    private static List<BackendStatus> order(RouteQuery query, List<BackendStatus> open) {
        return RendezvousHash.order(query.chat().orElse(""), open, s -> s.server().name());
    }

    private static List<BackendStatus> byLoad(List<BackendStatus> open) {
        return open.stream().sorted(Comparator.comparingInt(BackendStatus::load)).toList();
    }

    private static List<BackendServer> names(List<BackendStatus> statuses) {
        return statuses.stream().map(BackendStatus::server).toList();
    }

    private static final class RoundRobin implements RoutingPolicy {
        private int mNext;

        @Override
        public List<BackendServer> candidates(
                RouteQuery query, Settings settings, List<BackendStatus> servers) {
            List<BackendStatus> open = open(servers);
            int first = mNext++;
            return IntStream.range(0, open.size())
                    .mapToObj(i -> open.get((first + i) % open.size()).server())
                    .toList();
        }
    }
}
