import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A client sends requests whose body has a transfer coding other than {@code chunked}; the bytes of
 * the body read like a request.
 */
final class UnknownCoding extends Case {
    private static final int ROUTERS = 2;
    private static final int REPLICAS = 3;
    private static final int READ_MILLIS = 1000;
    private static final List<String> CODINGS = List.of("gzip", "deflate");

    private final List<String> mRun = new ArrayList<>();

    @Override
    boolean run(Fleet fleet) {
        for (int i = 0; i < REPLICAS; i++) {
            fleet.addReplica(
                    "app" + i,
                    new Replica.Profile(Fleet.PLAIN, Fleet.zone(i), 6, 24, 0, 3000),
                    new Replica.Behaviour() {
                        @Override
                        public int workMillis(HttpMessage request) {
                            return 20;
                        }

                        @Override
                        public void onRun(Replica replica, HttpMessage request) {
                            synchronized (mRun) {
                                mRun.add(request.header("Rhubarbward-Attempt-Id"));
                            }
                        }
                    });
        }
        fleet.startRouters(ROUTERS);
        List<String> sent = new ArrayList<>();
        for (Router router : fleet.routers) {
            for (String coding : CODINGS) {
                String id = coding + "-" + router.name();
                sent.add(id);
                exchange(fleet, router, request(id, body("inside-" + id), coding));
            }
        }
        // An ordinary request is served as before.
        sent.add("ordinary");
        fleet.caller.send(
                fleet.routers.get(0),
                new Caller.Request("ordinary", "POST", "/puxa403/2f", 4000, List.of()));
        return judge(fleet, sent);
    }

    /** Returns an order as it would stand on the wire; here it is the body of another request. */
    private static String body(String id) {
        return head(id, "POST", List.of("Content-Length: 0"));
    }

    private String request(String id, String body, String coding) {
        String framing =
                trouble() ? "Transfer-Encoding: " + coding : "Content-Length: " + body.length();
        return head(id, "POST", List.of(framing)) + body;
    }

    private static String head(String id, String method, List<String> own) {
        List<String> lines = new ArrayList<>();
        lines.add(method + " /puxa403/2f HTTP/1.1");
        lines.add("Host: " + Caller.HOST);
        lines.add("Rhubarbward-Attempt-Id: " + id);
        lines.add("Rhubarbward-Deadline-Remaining: 4000");
        lines.add("Authorization: Bearer " + Caller.KEY);
        lines.addAll(own);
        return String.join("\r\n", lines) + "\r\n\r\n";
    }

    private static void exchange(Fleet fleet, Router router, String request) {
        fleet.record.add("client sends to " + router.name() + ":\n" + request);
        ByteArrayOutputStream answers = new ByteArrayOutputStream();
        try (Socket socket = new Socket()) {
            socket.connect(router.front(), 1000);
            socket.setSoTimeout(READ_MILLIS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            byte[] buffer = new byte[8192];
            for (int read = socket.getInputStream().read(buffer);
                    read >= 0;
                    read = socket.getInputStream().read(buffer)) {
                answers.write(buffer, 0, read);
            }
        } catch (IOException e) {
            fleet.record.add("client stops reading: " + e);
        }
        fleet.record.add(
                "client got:\n" + answers.toString(StandardCharsets.ISO_8859_1).strip());
    }

    private boolean judge(Fleet fleet, List<String> sent) {
        List<String> unsent;
        synchronized (mRun) {
            unsent = mRun.stream().filter(id -> !sent.contains(id)).toList();
        }
        String result = "run by replicas though only the body of another request: " + unsent;
        fleet.record.add(result);
        System.out.println(result);
        if (!mRun.contains("ordinary")) {
            throw new IllegalStateException("the ordinary request was not run");
        }
        return unsent.isEmpty();
    }

    public static void main(String[] arguments) {
        main(new UnknownCoding(), arguments);
    }
}
