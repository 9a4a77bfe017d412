import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A client: sends requests with the key of its tenant. */
final class Caller {
    static final String HOST = "ficu95.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String TENANT = "hule930";

    private final Record mRecord;

    Caller(Record record) {
        mRecord = record;
    }

    /** A request, with its own header fields besides those of all requests. */
    record Request(String id, String method, String target, int deadlineMillis, List<String> own) {
        byte[] bytes() {
            List<String> headers = new ArrayList<>();
            headers.add("Host: " + HOST);
            headers.add("Rhubarbward-Attempt-Id: " + id);
            headers.add("Rhubarbward-Deadline-Remaining: " + deadlineMillis);
            headers.add("Authorization: Bearer " + KEY);
            headers.add("Connection: close");
            headers.addAll(own);
            String body = method.equals("GET") ? "" : "body of " + id;
            return HttpMessage.bytes(
                    method + " " + target + " HTTP/1.1",
                    headers,
                    body.getBytes(StandardCharsets.UTF_8));
        }
    }

    /** A request on a connection that is open already. */
    private final class Exchange {
        private final Request mRequest;
        private final Router mRouter;
        private final byte[] mBytes;
        private final Socket mSocket = new Socket();
        private String mFailure = "";

        Exchange(Router router, Request request) {
            mRouter = router;
            mRequest = request;
            mBytes = request.bytes();
            try {
                mSocket.setTcpNoDelay(true);
                mSocket.connect(router.front(), 1000);
                mSocket.setSoTimeout(request.deadlineMillis() + 1000);
            } catch (IOException e) {
                mFailure = e.toString();
            }
        }

        void send() {
            try {
                mSocket.getOutputStream().write(mBytes);
            } catch (IOException e) {
                mFailure = e.toString();
            }
        }

        void recordSent() {
            mRecord.add("client has sent " + mRequest.id() + " to " + mRouter.name());
        }

        /** Returns the status of the answer; 0 if there is none. */
        int receive() {
            int status = 0;
            String outcome = "no answer: " + mFailure;
            if (mFailure.isEmpty()) {
                try (mSocket) {
                    HttpMessage response = HttpMessage.readResponse(
                                    new BufferedInputStream(mSocket.getInputStream()));
                    status = response.status();
                    outcome = status + " " + new String(response.body, StandardCharsets.UTF_8);
                } catch (IOException e) {
                    outcome = "no answer: " + e;
                }
            }
            mRecord.add("client got for " + mRequest.id() + ": " + outcome);
            return status;
        }
    }

    /** Sends the request and returns the status of the answer; 0 if there was none. */
    int send(Router router, Request request) {
        Exchange exchange = new Exchange(router, request);
        exchange.send();
        exchange.recordSent();
        return exchange.receive();
    }

    /**
     * Sends all requests at once, to the routers in turn, on connections that are open before;
     * returns the statuses of the answers.
     */
    List<Integer> sendAtOnce(List<Router> routers, List<Request> requests) {
        List<Exchange> exchanges = new ArrayList<>();
        for (int i = 0; i < requests.size(); i++) {
            exchanges.add(new Exchange(routers.get(i % routers.size()), requests.get(i)));
        }
        exchanges.forEach(Exchange::send);
        exchanges.forEach(Exchange::recordSent);
        Integer[] statuses = new Integer[requests.size()];
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < requests.size(); i++) {
            int index = i;
            threads.add(
                    Threads.start(
                            "client " + index,
                            () -> statuses[index] = exchanges.get(index).receive()));
        }
        for (Thread thread : threads) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
        return List.of(statuses);
    }
}
