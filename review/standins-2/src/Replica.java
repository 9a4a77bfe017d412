import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A stand-in for a replica, which runs each request and answers it, as PROTOCOL.md describes. */
final class Replica implements AutoCloseable {
    private final String mId;
    private final ServerSocket mServer;
    private final Record mRecord;
    private volatile Handler mHandler;

    /** Answers a request that names this replica. */
    interface Handler {
        /** Returns whether the connection stays open. */
        boolean serve(Replica replica, Http.Message request, Socket socket) throws IOException;
    }

    Replica(String id, String ip, Record record, Handler handler) throws IOException {
        mId = id;
        mRecord = record;
        mHandler = handler;
        mServer = new ServerSocket(0, 200, InetAddress.getByName(ip));
        Threads.start("replica", this::accept);
    }

    String id() {
        return mId;
    }

    String address() {
        return mServer.getInetAddress().getHostAddress() + ":" + mServer.getLocalPort();
    }

    void handler(Handler handler) {
        mHandler = handler;
    }

    /** Returns the entry that the replica writes about itself. */
    String entry(String service, String zone, String version, String state, int sequence) {
        return """
               {"service":"%s","address":"%s","zone":"%s","version":"%s","slots":8,"state":"%s",
                "coldRemainingMs":0,"sequence":%d,"born":1700000000000}
               """
                .formatted(service, address(), zone, version, state, sequence);
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = mServer.accept();
            socket.setTcpNoDelay(true);
            Threads.start("replica-connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            InputStream in = Http.buffered(socket.getInputStream());
            for (Http.Message request = Http.read(in);
                    request != null;
                    request = Http.read(in)) {
                String id = request.header("Rhubarbward-Attempt-Id");
                if (request.target().equals("/health")) {
                    send(socket, "200 OK", "Rhubarbward-Instance-Id: " + mId + "\r\n", "");
                } else if (id.isEmpty()) {
                    send(socket, "400 No Id", "Rhubarbward-Not-Executed: 1\r\n", "");
                } else if (!request.header("Rhubarbward-Expect-Instance").equals(mId)) {
                    send(socket, "421 Other", idLine(request), "");
                } else if (!mHandler.serve(this, request, socket)) {
                    return;
                }
            }
        }
    }

    /** Records that the request runs. */
    void recordRun(Http.Message request) {
        mRecord.ran(request.header("Rhubarbward-Attempt-Id"), mId, request.startLine());
    }

    static String idLine(Http.Message request) {
        return "Rhubarbward-Attempt-Id: " + request.header("Rhubarbward-Attempt-Id") + "\r\n";
    }

    static String sealLine(Http.Message request) {
        return "Rhubarbward-Server-Seal: seal-" + request.header("Rhubarbward-Attempt-Id") + "\r\n";
    }

    static void send(Socket socket, String status, String headers, String body)
            throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(
                Http.bytes(
                        "HTTP/1.1 "
                                + status
                                + "\r\n"
                                + headers
                                + "Content-Length: "
                                + body.length()
                                + "\r\n\r\n"
                                + body));
    }

    /** Runs the request for a time and answers it with success. */
    static Handler running(long millis) {
        return (replica, request, socket) -> {
            replica.recordRun(request);
            sleep(millis);
            String body = replica.id() + " ran " + request.startLine();
            send(socket, "200 OK", idLine(request) + sealLine(request), body);
            return true;
        };
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }
}
