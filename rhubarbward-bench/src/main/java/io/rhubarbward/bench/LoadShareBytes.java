package io.rhubarbward.bench;

import io.netty.channel.nio.NioEventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.rhubarbward.engine.LoadShare;
import io.rhubarbward.engine.SharedLoad;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.hash.RendezvousHash;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.net.peer.ThriftPeerTransport;
import io.rhubarbward.timer.SystemTimerService;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Measures the bytes that sharing load costs a router, by the transport's own counter.
 *
 * <p>For each size it sends every owner's message through the real codec and transport once and
 * works out what a router receives in a second from all the others.
 */
public final class LoadShareBytes {
    private static final long SEED = 1;
    private static final int[][] ROUTERS_AND_ENGINES = {{3, 5}, {9, 25}, {27, 74}, {57, 157}};
    private static final int SMALL_SITE_ENGINES = 64;
    private static final double SHARE_SECONDS = 3;

    private LoadShareBytes() {}

    /** Prints one line for each size of a data centre. */
    public static void main(String[] args) throws Exception {
        System.out.println("routers engines period_s received_bytes_per_s sent_bytes_per_s");
        for (int[] size : ROUTERS_AND_ENGINES) {
            print(size[0], size[1]);
        }
    }

    private static void print(int routers, int engines) throws Exception {
        double period = engines <= SMALL_SITE_ENGINES ? 1 : SHARE_SECONDS;
        double round = bytes(messages(routers, engines));
        double received = round * (routers - 1) / routers / period;
        System.out.printf("%d %d %.0f %.0f %.0f%n", routers, engines, period, received, received);
    }

    private static List<LoadShare> messages(int routers, int engines) {
        List<String> names = names("entry-", routers);
        SplittableRandom random = new SplittableRandom(SEED);
        Map<String, List<String>> owned =
                names("assistant-lima-norte-", engines).stream()
                        .collect(Collectors.groupingBy(engine -> owner(engine, names)));
        return owned.values().stream()
                .map(list -> list.stream().map(engine -> load(engine, random)).toList())
                .map(LoadShare::new)
                .toList();
    }

    private static String owner(String engine, List<String> routers) {
        return RendezvousHash.order("load/" + engine, routers, Function.identity()).get(0);
    }

    private static List<String> names(String prefix, int count) {
        return IntStream.range(0, count).mapToObj(i -> prefix + i).toList();
    }

    private static SharedLoad load(String engine, SplittableRandom random) {
        return new SharedLoad(
                (int) RendezvousHash.hash(engine),
                (int) RendezvousHash.hash(engine + "/incarnation"),
                random.nextInt(256),
                random.nextInt(16),
                random.nextLong(10_000_000),
                0,
                random.nextInt(1000),
                false);
    }

    private static double bytes(List<LoadShare> messages) throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        PrometheusRegistry metrics = new PrometheusRegistry();
        try (SystemTimerService timers = new SystemTimerService("bytes", EventLog.none());
                ThriftPeerTransport sender = open("entry-10", group, timers, metrics);
                ThriftPeerTransport receiver =
                        open("entry-11", group, timers, new PrometheusRegistry())) {
            Peer to = new Peer("entry-11", "dc", "127.0.0.1:" + receiver.port());
            CompletableFuture<Void> sent = new CompletableFuture<>();
            timers.execute(
                    () -> {
                        messages.forEach(message -> sender.send(to, message));
                        sent.complete(null);
                    });
            sent.join();
            return sentBytes(metrics);
        } finally {
            group.shutdownGracefully();
        }
    }

    private static ThriftPeerTransport open(
            String vm,
            NioEventLoopGroup group,
            SystemTimerService timers,
            PrometheusRegistry metrics) {
        return new ThriftPeerTransport(
                vm,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                group,
                timers,
                EventLog.none(),
                metrics);
    }

    private static double sentBytes(PrometheusRegistry metrics) {
        return metrics.scrape().stream()
                .filter(CounterSnapshot.class::isInstance)
                .map(CounterSnapshot.class::cast)
                .flatMap(counter -> counter.getDataPoints().stream())
                .filter(point -> "sent".equals(point.getLabels().get("direction")))
                .mapToDouble(CounterSnapshot.CounterDataPointSnapshot::getValue)
                .sum();
    }
}
