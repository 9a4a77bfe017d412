import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that the users don't control send requests and read no answers. */
final class UnreadAnswers extends Case {
    private static final int REPLICAS = 3;
    private static final int CONTACT_MILLIS = 3000;
    private static final int ALLOWED_LOST = 3;

    /** The longest answer of the site's sheet, and the usual one. */
    private static final int ORDINARY_BYTES = 4800;

    private static final int FIRST_BYTES = 800;
    private static final int CLIENTS = 10;
    private static final int PAUSE_MILLIS = 100;

    /** Clients that leave less than SMALL_BYTES unread at the router, and others. */
    private static final int SMALL_CLIENTS = 900;

    private static final int SMALL_BYTES = 14_000;
    private static final int SMALL_STEP_BYTES = 977;
    private static final int LARGE_CLIENTS = 900;
    private static final int LARGE_BYTES = 600_000;
    private static final int PROBE_REQUESTS = 60;
    private static final int RECEIVE_BUFFER_BYTES = 4096;

    private final AtomicInteger mServed = new AtomicInteger();
    private final AtomicInteger mLost = new AtomicInteger();
    private final AtomicInteger mOther = new AtomicInteger();
    private final AtomicInteger mProbed = new AtomicInteger();
    private final AtomicBoolean mStopped = new AtomicBoolean();
    private final Set<String> mRun = ConcurrentHashMap.newKeySet();
    private final List<Socket> mCrowd = Collections.synchronizedList(new ArrayList<>());

    private final class Plain implements Replica.Behaviour {
        @Override
        public int workMillis(HttpMessage request) {
            return 1;
        }

        @Override
        public int bodyBytes(HttpMessage request) {
            String target = request.target();
            return Integer.parseInt(target.substring(target.indexOf('=') + 1));
        }

        @Override
        public void onRun(Replica replica, HttpMessage request) {
            String id = request.header("Rhubarbward-Attempt-Id");
            if (id.startsWith("probe")) {
                mProbed.incrementAndGet();
            } else if (id.startsWith("ordinary")) {
                mRun.add(id);
            }
        }
    }

    @Override
    boolean run(Fleet fleet) {
        for (int i = 0; i < REPLICAS; i++) {
            fleet.addReplica(
                    "app" + i,
                    new Replica.Profile(Fleet.PLAIN, Fleet.zone(i), 64, 192, 0, 3000),
                    new Plain());
        }
        fleet.startRouters(1);
        Router router = fleet.routers.get(0);
        Threads.sleep(CONTACT_MILLIS);
        int buffered = bufferedBytes(router);
        fleet.record.add("unread bytes that find room outside the router: about " + buffered);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Threads.start("client " + i, () -> keepAsking(fleet, router, number)));
        }
        Threads.sleep(CONTACT_MILLIS);
        if (trouble()) {
            bringCrowd(fleet, router, buffered);
        } else {
            Threads.sleep(4 * CONTACT_MILLIS);
        }
        mStopped.set(true);
        clients.forEach(UnreadAnswers::join);
        mCrowd.forEach(UnreadAnswers::close);
        String result =
                "answered: "
                        + mServed
                        + "; passed on from a kept connection and closed without an answer: "
                        + mLost
                        + ", allowed "
                        + ALLOWED_LOST
                        + "; otherwise not answered: "
                        + mOther;
        fleet.record.add(result);
        System.out.println(result);
        return mLost.get() <= ALLOWED_LOST;
    }

    /** Returns how many bytes of answers leave the router though the client reads none. */
    private int bufferedBytes(Router router) {
        int[] answers = new int[PROBE_REQUESTS];
        Arrays.fill(answers, SMALL_BYTES);
        Socket probe = ask(router, "probe", answers);
        Threads.sleep(2000);
        close(probe);
        return (mProbed.get() - 1) * SMALL_BYTES;
    }

    private void bringCrowd(Fleet fleet, Router router, int buffered) {
        fleet.record.add("the crowd comes");
        for (int i = 0; i < SMALL_CLIENTS; i++) {
            int first = buffered - SMALL_BYTES - i * SMALL_STEP_BYTES % SMALL_BYTES;
            int[] answers = {first, SMALL_BYTES, SMALL_BYTES, SMALL_BYTES};
            mCrowd.add(ask(router, "small" + i, answers));
            Threads.sleep(i % 10 == 0 ? 40 : 0);
        }
        fleet.record.add("clients that have asked for several answers: " + SMALL_CLIENTS);
        for (int i = 0; i < LARGE_CLIENTS; i++) {
            mCrowd.add(ask(router, "large" + i, new int[] {LARGE_BYTES}));
            Threads.sleep(i % 10 == 0 ? 80 : 0);
        }
        fleet.record.add("clients that have asked for one answer: " + LARGE_CLIENTS);
        Threads.sleep(CONTACT_MILLIS);
    }

    private static String request(String id, int bytes) {
        return String.join(
                        "\r\n",
                        "GET /cufi504/fi50/2f?bytes=" + bytes + " HTTP/1.1",
                        "Host: " + Caller.HOST,
                        "Rhubarbward-Attempt-Id: " + id,
                        "Rhubarbward-Deadline-Remaining: 4000",
                        "Authorization: Bearer " + Caller.KEY)
                + "\r\n\r\n";
    }

    /** Sends requests, one behind the other, for answers of these lengths, and reads nothing. */
    private static Socket ask(Router router, String name, int[] answerBytes) {
        try {
            Socket socket = new Socket();
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(router.front(), 2000);
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < answerBytes.length; i++) {
                requests.append(request(name + "-" + i, answerBytes[i]));
            }
            socket.getOutputStream()
                    .write(requests.toString().getBytes(StandardCharsets.ISO_8859_1));
            return socket;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
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

    /** An ordinary client: keeps its connection, and reads each answer at once. */
    private void keepAsking(Fleet fleet, Router router, int client) {
        for (int i = 0; !mStopped.get(); i++) {
            String name = "ordinary" + client + "-" + i;
            try (Socket socket = new Socket()) {
                socket.setTcpNoDelay(true);
                socket.connect(router.front(), 1000);
                socket.setSoTimeout(6000);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                boolean open = exchange(fleet, socket, in, name + "-0", FIRST_BYTES, false);
                for (int n = 1; open && !mStopped.get(); n++) {
                    open = exchange(fleet, socket, in, name + "-" + n, ORDINARY_BYTES, true);
                    Threads.sleep(PAUSE_MILLIS);
                }
            } catch (IOException e) {
                fleet.record.add(name + " was not connected: " + e);
            }
            Threads.sleep(PAUSE_MILLIS);
        }
    }

    /** Returns whether the connection can be used again. */
    private boolean exchange(
            Fleet fleet, Socket socket, InputStream in, String id, int bytes, boolean kept)
            throws IOException {
        socket.getOutputStream().write(request(id, bytes).getBytes(StandardCharsets.ISO_8859_1));
        boolean begun = false;
        try {
            in.mark(1);
            begun = in.read() >= 0;
            in.reset();
            HttpMessage answer = HttpMessage.readResponse(in);
            (answer.status() == 200 ? mServed : mOther).incrementAndGet();
            if (answer.status() != 200) {
                fleet.record.add(id + " got " + answer.firstLine);
            }
            return true;
        } catch (IOException e) {
            boolean lost = kept && !begun && mRun.contains(id);
            (lost ? mLost : mOther).incrementAndGet();
            fleet.record.add(id + (lost ? " was run, and got no answer: " : " broke off: ") + e);
            return false;
        }
    }

    public static void main(String[] arguments) {
        main(new UnreadAnswers(), arguments);
    }
}
