import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients come back on kept connections and ask for reports; in a burst, some of the reports wait
 * for a slot at their replica: do the clients get their answers?
 */
final class Case6 {
    private static final int REPLICAS = 4;
    private static final int SLOTS = 16;

    /** As many clients as the replicas have slots for, and 1.7 times as many. */
    private static final int USUAL_CLIENTS = 48;

    private static final int BURST_CLIENTS = 81;

    /** A report: its first event comes within the aim, if it need not wait. */
    private static final int FIRST_EVENT_MILLIS = 600;

    private static final int EVENTS = 48;
    private static final int EVENT_GAP_MILLIS = 55;

    /** Below four fifths of idleTimeoutMs, 15,000. */
    private static final int REST_MILLIS = 11_500;

    private static final int DEADLINE_MILLIS = 15_194;

    /** How many closed connections the rule allows. */
    private static final int ALLOWED = 3;

    private final Fleet mFleet;
    private final Set<String> mArrived = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mWhole = new AtomicInteger();
    private final AtomicInteger mRefused = new AtomicInteger();
    private final AtomicInteger mCut = new AtomicInteger();

    private Case6(Fleet fleet) {
        mFleet = fleet;
    }

    public static void main(String[] arguments) {
        Case.run(arguments, (fleet, trouble) -> new Case6(fleet).play(trouble));
    }

    private boolean play(boolean trouble) throws IOException {
        mFleet.store.put("config", "main", config());
        mFleet.replica("i-portal-1", "portal", "lima-norte", Replica.running(60));
        for (int i = 1; i <= REPLICAS; i++) {
            Replica replica = mFleet.replica("i-model-" + i, "model", "lima-norte", report());
            mFleet.store.put(
                    "servers",
                    replica.id(),
                    replica.entry("model", "lima-norte", "v1", "ready", 2)
                            .replace("\"slots\":8", "\"slots\":" + SLOTS));
        }
        Router router = mFleet.router("front-1", "lima-norte");
        Case.require(router.awaitReady(20_000), "the router is not ready");
        Replica.sleep(1000);
        int clients = trouble ? BURST_CLIENTS : USUAL_CLIENTS;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            int number = i;
            threads.add(Threads.start("client", () -> client(router, number)));
        }
        for (Thread thread : threads) {
            join(thread);
        }
        mFleet.record.line(
                clients
                        + " reports: "
                        + mWhole
                        + " whole, "
                        + mRefused
                        + " refused, "
                        + mCut
                        + " passed on to a replica and cut without an answer");
        return mCut.get() > ALLOWED;
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Looks a report up, rests, and asks for another one on the same connection. */
    private void client(Router router, int number) throws IOException {
        String first = "lookup-" + number;
        String second = "report-" + number;
        try (Socket socket = router.connect()) {
            socket.setSoTimeout(DEADLINE_MILLIS);
            InputStream in = Http.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            out.write(Http.bytes(Fleet.request("GET", "/lookup/1", first, 3000) + "\r\n"));
            Http.Message answer = Http.read(in);
            mFleet.record.line("answer of " + first + ": " + status(answer));
            if (answer == null || answer.status() != 200) {
                return;
            }
            Replica.sleep(REST_MILLIS);
            out.write(
                    Http.bytes(
                            Fleet.request("POST", "/report/1", second, DEADLINE_MILLIS)
                                    + "Content-Length: 0\r\n\r\n"));
            mFleet.record.line("sent " + second);
            finish(second, in);
        }
    }

    private void finish(String id, InputStream in) {
        String result;
        try {
            Http.Message answer = Http.read(in);
            result = status(answer);
            if (answer != null) {
                (answer.status() == 200 ? mWhole : mRefused).incrementAndGet();
                mFleet.record.line("answer of " + id + ": " + result);
                return;
            }
        } catch (IOException e) {
            result = "none, " + e;
        }
        mFleet.record.line("answer of " + id + ": " + result);
        if (mArrived.contains(id)) {
            mCut.incrementAndGet();
        }
    }

    private static String status(Http.Message answer) {
        return answer == null ? "none, the connection was closed" : "" + answer.status();
    }

    /** Streams a report once one of the replica's slots is free. */
    private Replica.Handler report() {
        Semaphore slots = new Semaphore(SLOTS, true);
        return (replica, request, socket) -> {
            mArrived.add(request.header("Rhubarbward-Attempt-Id"));
            slots.acquireUninterruptibly();
            try {
                replica.recordRun(request);
                stream(request, socket);
            } finally {
                slots.release();
            }
            return true;
        };
    }

    private static void stream(Http.Message request, Socket socket) throws IOException {
        OutputStream out = socket.getOutputStream();
        Replica.sleep(FIRST_EVENT_MILLIS);
        out.write(
                Http.bytes(
                        "HTTP/1.1 200 OK\r\n"
                                + Replica.idLine(request)
                                + Replica.sealLine(request)
                                + "Content-Type: text/event-stream\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n"));
        for (int i = 1; i <= EVENTS; i++) {
            String event = "id: " + i + "\ndata: word\n\n";
            out.write(Http.bytes(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
            Replica.sleep(EVENT_GAP_MILLIS);
        }
        out.write(Http.bytes("0\r\n\r\n"));
    }

    private static String config() {
        return """
               {"version":1,
                "routes":[
                 {"name":"lookup","host":"%s","pathPrefix":"/lookup/","kind":"idempotent",
                  "timeoutMs":3000,"targetLatencyMs":393,"service":"portal","maxAttempts":2,
                  "priority":2},
                 {"name":"report","host":"%s","pathPrefix":"/report/","kind":"streaming",
                  "timeoutMs":15194,"targetLatencyMs":1519,"gapTargetMs":600,"service":"model",
                  "maxAttempts":1,"priority":1,"sessionAffinity":true}],
                "services":[
                 {"name":"portal","healthPath":"/health","maxConnections":550,
                  "coldStartS":0,"coldPerS":0},
                 {"name":"model","healthPath":"/health","maxConnections":810,
                  "coldStartS":3.0,"coldPerS":20.0,
                  "engine":{"slots":16,"kvCapacityTokens":567890}}],
                "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
                 "headerTimeoutMs":3000,"idleTimeoutMs":15000},
                "tenants":[{"name":"hule930","apiKeys":["%s"]}]}
               """
                .formatted(Fleet.HOST, Fleet.HOST, Fleet.KEY);
    }
}
