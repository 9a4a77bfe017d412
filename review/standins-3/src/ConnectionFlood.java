import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that the users don't control hold many idle connections to one machine. */
final class ConnectionFlood extends Case {
    private static final int ROUTERS = 2;
    private static final int REPLICAS = 3;
    private static final int CONTACT_MILLIS = 3000;
    private static final int HELD_CONNECTIONS = 2600;
    private static final int CLIENTS = 10;
    private static final int TRY_MILLIS = 8000;
    private static final int PERIOD_MILLIS = 250;
    private static final int OK = 200;

    private final AtomicInteger mTried = new AtomicInteger();
    private final List<Long> mTakenMillis = new ArrayList<>();
    private final List<Long> mUnreadyMillis = new ArrayList<>();

    @Override
    boolean run(Fleet fleet) {
        for (int i = 0; i < REPLICAS; i++) {
            fleet.addReplica(
                    "app" + i,
                    new Replica.Profile(Fleet.PLAIN, Fleet.zone(i), 6, 24, 0, 3000),
                    request -> 30);
        }
        fleet.startRouters(ROUTERS);
        Router router = fleet.routers.get(0);
        fleet.caller.send(router, request("before"));
        Threads.sleep(CONTACT_MILLIS + 1000);
        List<SocketChannel> held = new ArrayList<>();
        if (trouble()) {
            fleet.record.add("connections are opened that stay idle: " + HELD_CONNECTIONS);
            for (int i = 0; i < HELD_CONNECTIONS; i++) {
                held.add(open(router));
            }
            fleet.record.add("they are open");
        }
        long from = Record.now();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Threads.start("client " + i, () -> tryAgain(fleet, router, number, from)));
        }
        while (Record.now() < from + TRY_MILLIS) {
            if (!router.ready()) {
                fleet.record.add(router.name() + " does not say that it is ready");
                synchronized (mTakenMillis) {
                    mUnreadyMillis.add(Record.now());
                }
            }
            Threads.sleep(PERIOD_MILLIS);
        }
        clients.forEach(ConnectionFlood::join);
        held.forEach(ConnectionFlood::close);
        return judge(fleet, from);
    }

    private static Caller.Request request(String id) {
        return new Caller.Request(id, "GET", "/cufi504/fi50/2f", 1000, List.of());
    }

    private static SocketChannel open(Router router) {
        try {
            return SocketChannel.open(router.front());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void close(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Tries with a new connection each time. */
    private void tryAgain(Fleet fleet, Router router, int client, long from) {
        for (int i = 0; Record.now() < from + TRY_MILLIS; i++) {
            mTried.incrementAndGet();
            if (fleet.caller.send(router, request("client" + client + "-" + i)) == OK) {
                synchronized (mTakenMillis) {
                    mTakenMillis.add(Record.now());
                }
            }
            Threads.sleep(PERIOD_MILLIS);
        }
    }

    /** Returns whether no contact time passed, while ready, without a connection taken. */
    private boolean judge(Fleet fleet, long from) {
        List<Long> ends = new ArrayList<>(mTakenMillis);
        ends.addAll(mUnreadyMillis);
        ends.add(from);
        ends.add(from + TRY_MILLIS);
        List<Long> sorted = ends.stream().sorted().toList();
        long longest = 0;
        for (int i = 1; i < sorted.size(); i++) {
            longest = Math.max(longest, sorted.get(i) - sorted.get(i - 1));
        }
        String result =
                "tries by "
                        + CLIENTS
                        + " clients: "
                        + mTried
                        + ", served: "
                        + mTakenMillis.size()
                        + ", checks without a 200: "
                        + mUnreadyMillis.size()
                        + "; longest time ready without a connection taken: "
                        + longest
                        + " ms, allowed "
                        + CONTACT_MILLIS;
        fleet.record.add(result);
        System.out.println(result);
        return longest < CONTACT_MILLIS;
    }

    public static void main(String[] arguments) {
        main(new ConnectionFlood(), arguments);
    }
}
