import java.io.IOException;
import java.io.OutputStream;
import java.io.PushbackInputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A replica of a service: registers itself, runs requests, declines what it has no room for. */
final class Replica {
    private static final int HEARTBEAT_MILLIS = 1200;
    private static final int LAPSE_MILLIS = 3 * HEARTBEAT_MILLIS;
    private static final int POLL_MILLIS = 5;

    private final Profile mProfile;
    private final Store mStore;
    private final Record mRecord;
    private final Behaviour mBehaviour;
    private final Server mServer = new Server(this::serve);
    private final String mName;
    private volatile String mId;
    private volatile long mBornMillis;
    private volatile long mColdUntilMillis;
    private volatile boolean mUp;
    private int mIncarnation;
    private int mSequence;
    private int mRunning;
    private int mWaiting;

    /**
     * The size of a replica.
     *
     * @param queue requests that may wait
     * @param coldMillis how long it is slow after a start during traffic
     * @param backMillis time from a crash to the next start
     */
    record Profile(
            String service, String zone, int slots, int queue, int coldMillis, int backMillis) {}

    /** What a replica does with a request, and what it says of itself. */
    interface Behaviour {
        /** Returns how long the replica works on the request before it answers. */
        int workMillis(HttpMessage request);

        /** Returns whether the replica crashes when it begins to write the answer. */
        default boolean crashes(HttpMessage request) {
            return false;
        }

        /** Returns the status of the answer. */
        default int status(HttpMessage request) {
            return 200;
        }

        /** Returns the least length of the answer's body. */
        default int bodyBytes(HttpMessage request) {
            return 0;
        }

        /** Returns how many requests may wait now. */
        default int queue(Profile profile) {
            return profile.queue();
        }

        /** Returns header fields of all answers. */
        default List<String> statements() {
            return List.of();
        }

        /** Learns that a request was turned away; returns whether the replica falls over. */
        default boolean fallsOverAfterDecline(Replica replica) {
            return false;
        }

        /** Learns that a request has arrived, before anything is decided on it. */
        default void onArrival(Replica replica, HttpMessage request) {}

        /** Learns that the replica began to work on a request. */
        default void onRun(Replica replica, HttpMessage request) {}
    }

    Replica(String name, Profile profile, Store store, Record record, Behaviour behaviour) {
        mName = name;
        mProfile = profile;
        mStore = store;
        mRecord = record;
        mBehaviour = behaviour;
    }

    String name() {
        return mName;
    }

    String address() {
        return mServer.address();
    }

    /** Starts for the first time, before the traffic, or again after a crash. */
    void start(boolean duringTraffic) {
        mId = "i-" + mName + "-" + mIncarnation++;
        mBornMillis = System.currentTimeMillis();
        mColdUntilMillis = duringTraffic ? Record.now() + mProfile.coldMillis() : 0;
        mServer.open();
        mUp = true;
        String id = mId;
        Threads.start(
                "heartbeat " + id,
                () -> {
                    while (mUp && mId.equals(id)) {
                        register();
                        Threads.sleep(HEARTBEAT_MILLIS);
                    }
                });
    }

    private synchronized void register() {
        if (mUp) {
            mStore.put("servers", mId, entry());
        }
    }

    private String entry() {
        return "{\"service\":\""
                + mProfile.service()
                + "\",\"address\":\""
                + mServer.address()
                + "\",\"zone\":\""
                + mProfile.zone()
                + "\",\"version\":\"v1\",\"slots\":"
                + mProfile.slots()
                + ",\"state\":\"ready\",\"coldRemainingMs\":"
                + Math.max(0, mColdUntilMillis - Record.now())
                + ",\"sequence\":"
                + mSequence++
                + ",\"born\":"
                + mBornMillis
                + "}";
    }

    private synchronized void lapse(String id) {
        if (!mUp || !mId.equals(id)) {
            mRecord.add("store: the entry of " + id + " has lapsed");
            mStore.delete("servers", id);
        }
    }

    /** Crashes; starts again after a while. */
    void crash(String cause) {
        synchronized (this) {
            if (!mUp) {
                return;
            }
            mUp = false;
        }
        mRecord.add(mId + " crashes: " + cause);
        mServer.crash();
        String id = mId;
        Threads.start(
                "restart " + id,
                () -> {
                    Threads.sleep(mProfile.backMillis());
                    synchronized (this) {
                        mRunning = 0;
                        mWaiting = 0;
                    }
                    start(true);
                    Threads.sleep(Math.max(0, LAPSE_MILLIS - mProfile.backMillis()));
                    lapse(id);
                });
    }

    private void serve(Socket connection) throws IOException {
        PushbackInputStream in = new PushbackInputStream(connection.getInputStream(), 1);
        for (HttpMessage request = HttpMessage.readRequest(in);
                request != null;
                request = HttpMessage.readRequest(in)) {
            answer(connection, in, request);
        }
    }

    private void answer(Socket connection, PushbackInputStream in, HttpMessage request)
            throws IOException {
        OutputStream out = connection.getOutputStream();
        String expected = request.header("Rhubarbward-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(mId)) {
            out.write(response(421, request, List.of("Rhubarbward-Instance-Id: " + mId), ""));
            return;
        }
        if (request.header("Rhubarbward-Attempt-Id").isEmpty()) {
            out.write(response(400, request, List.of("Rhubarbward-Not-Executed: 1"), ""));
            return;
        }
        mBehaviour.onArrival(this, request);
        if (!enter(connection, in)) {
            mRecord.add(
                    mId + " declines " + request.header("Rhubarbward-Attempt-Id") + ": no room");
            boolean falls = mBehaviour.fallsOverAfterDecline(this);
            out.write(response(503, request, List.of("Rhubarbward-Not-Executed: 1"), ""));
            if (falls) {
                crash("it has declined too many requests");
            }
            return;
        }
        try {
            run(connection, in, request);
        } finally {
            leave();
        }
    }

    /** Takes a slot, after a wait if one is allowed; returns whether there is room. */
    private boolean enter(Socket connection, PushbackInputStream in) throws IOException {
        synchronized (this) {
            if (mRunning < mProfile.slots()) {
                mRunning++;
                return true;
            }
            if (mWaiting >= mBehaviour.queue(mProfile)) {
                return false;
            }
            mWaiting++;
        }
        try {
            while (true) {
                if (!stillOpen(connection, in, POLL_MILLIS)) {
                    throw new IOException("the caller left the queue");
                }
                synchronized (this) {
                    if (mRunning < mProfile.slots()) {
                        mRunning++;
                        return true;
                    }
                }
            }
        } finally {
            synchronized (this) {
                mWaiting--;
            }
        }
    }

    private synchronized void leave() {
        mRunning = Math.max(0, mRunning - 1);
    }

    private void run(Socket connection, PushbackInputStream in, HttpMessage request)
            throws IOException {
        String attempt = request.header("Rhubarbward-Attempt-Id");
        mRecord.add(mId + " runs " + attempt);
        mBehaviour.onRun(this, request);
        long end = Record.now() + mBehaviour.workMillis(request);
        while (Record.now() < end) {
            if (!stillOpen(connection, in, (int) Math.max(1, end - Record.now()))) {
                mRecord.add(mId + " drops " + attempt + ": its connection was closed");
                throw new IOException("the caller has left");
            }
        }
        if (mBehaviour.crashes(request)) {
            crash("it begins to answer " + attempt);
            throw new IOException("crashed");
        }
        int status = mBehaviour.status(request);
        boolean events = mProfile.service().equals(Fleet.ENGINES);
        String text = "answer to " + attempt + " by " + mId;
        String body = events ? "id: 1\ndata: " + text + "\n\n" : text;
        body += " ".repeat(Math.max(0, mBehaviour.bodyBytes(request) - body.length()));
        mRecord.add(mId + " answers " + status + " to " + attempt);
        connection
                .getOutputStream()
                .write(
                        response(
                                status,
                                request,
                                List.of(
                                        "Content-Type: "
                                                + (events ? "text/event-stream" : "text/plain"),
                                        "Rhubarbward-Server-Seal: s." + body.hashCode()),
                                body));
    }

    /** Waits, and returns whether the caller has kept its connection open. */
    private static boolean stillOpen(Socket connection, PushbackInputStream in, int waitMillis)
            throws IOException {
        connection.setSoTimeout(Math.max(1, waitMillis));
        try {
            int next = in.read();
            if (next >= 0) {
                in.unread(next);
                Threads.sleep(waitMillis);
            }
            return next >= 0;
        } catch (SocketTimeoutException e) {
            return true;
        } finally {
            connection.setSoTimeout(0);
        }
    }

    private byte[] response(int status, HttpMessage request, List<String> own, String body) {
        List<String> headers = new ArrayList<>(own);
        String attempt = request.header("Rhubarbward-Attempt-Id");
        if (!attempt.isEmpty()) {
            headers.add("Rhubarbward-Attempt-Id: " + attempt);
        }
        if (status != 421) {
            headers.addAll(mBehaviour.statements());
        }
        return HttpMessage.bytes(
                "HTTP/1.1 " + status + " X", headers, body.getBytes(StandardCharsets.UTF_8));
    }

}
