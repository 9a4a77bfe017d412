package io.rhubarbward.testing;

import io.rhubarbward.reach.ConnectProbe;
import io.rhubarbward.request.BackendCall;
import io.rhubarbward.request.BackendClient;
import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.request.BackendListener;
import io.rhubarbward.request.BackendRequest;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.timer.VirtualTimerService;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Backend servers in virtual time that all routers of a test share. They answer in two steps, crash
 * during certain requests, and are up again under a new incarnation after a while.
 */
public final class SimulatedServers {
    private static final int PARTS = 10;
    private static final String PART = "data: " + "x".repeat(52) + "\n\n";
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
    private static final Duration DEAD_CONNECTION_TIME = Duration.ofMillis(500);
    private static final Duration DOWN_TIME = Duration.ofSeconds(3);

    private final VirtualTimerService mTimers;
    private final Map<String, Server> mServers = new HashMap<>();
    private final List<Arrival> mArrivals = new ArrayList<>();
    private final List<Crash> mCrashes = new ArrayList<>();

    /** Calls on connections that carry nothing more, which did not reach their servers. */
    private final List<Call> mHanging = new ArrayList<>();

    private final BiConsumer<String, Long> mOnRestart;
    private int mProbes;
    private Duration mAnswerBegins = Duration.ofMillis(40);
    private int mRoom = Integer.MAX_VALUE;
    private int mMostDeclined = Integer.MAX_VALUE;
    private Consumer<String> mOnAnswer = server -> {};
    private final Map<String, Integer> mIdleConnections = new HashMap<>();
    private Predicate<String> mCutOffRouters = router -> false;
    private Predicate<String> mCutOffServers = server -> true;
    private LostLinks mLostLinks = LostLinks.HANG;
    private Predicate<BackendRequest> mDeadly = request -> false;
    private Function<String, Duration> mAnswerTime = server -> Duration.ofMillis(400);
    private Function<String, Integer> mStatus = server -> 200;
    private Function<String, HeaderFields> mAnswerFields = server -> HeaderFields.NONE;

    /**
     * Creates servers.
     *
     * @param onRestart called with a server's name and its new start time when it is up again
     */
    public SimulatedServers(VirtualTimerService timers, BiConsumer<String, Long> onRestart) {
        mTimers = timers;
        mOnRestart = onRestart;
    }

    /** A request that reached a server. */
    public record Arrival(long atMillis, String router, String server, HeaderFields headers) {}

    /** The end of a server. */
    public record Crash(long atMillis, String server) {}

    /** What becomes of connections whose link is lost. */
    public enum LostLinks {
        /** Open connections carry nothing more; new ones do not come about. */
        HANG,
        /** Open connections are reset; new ones too. */
        RESET,
        /** Open connections go on; new ones are refused. */
        REFUSE
    }

    private static final class Server {
        private final List<Call> mOpen = new ArrayList<>();
        private final List<Long> mDeclinedMillis = new ArrayList<>();
        private boolean mUp = true;
    }

    /** Crashes the server of each request that fulfils the condition, when its answer begins. */
    public void crashDuring(Predicate<BackendRequest> deadly) {
        mDeadly = deadly;
    }

    /** Sets how long each server takes for an answer. */
    public void answerTime(Function<String, Duration> answerTime) {
        mAnswerTime = answerTime;
    }

    /** Sets the time until answers begin. */
    public void answerBegins(Duration answerBegins) {
        mAnswerBegins = answerBegins;
    }

    /** Sets the status that each server answers with. */
    public void status(Function<String, Integer> status) {
        mStatus = status;
    }

    /** Sets the header fields that each server adds to its answers. */
    public void answerFields(Function<String, HeaderFields> fields) {
        mAnswerFields = fields;
    }

    /**
     * Makes the servers brittle: one declines what it has no room for, and falls over when it has
     * to decline more than a number of requests in a second.
     *
     * @param room how many requests each server takes at the same time
     * @param mostDeclined how many requests a second each server can decline
     */
    public void makeBrittle(int room, int mostDeclined) {
        mRoom = room;
        mMostDeclined = mostDeclined;
        mAnswerFields = server -> HeaderFields.of("brittle", Integer.toString(mostDeclined));
    }

    private void decline(String name, Call call) {
        Server server = server(name);
        server.mDeclinedMillis.removeIf(at -> at <= mTimers.nowMillis() - 1000);
        server.mDeclinedMillis.add(mTimers.nowMillis());
        HeaderFields head =
                HeaderFields.of("id", call.mRequest.headers().first("id").orElse(""))
                        .with("not-run", "1")
                        .and(mAnswerFields.apply(name));
        call.tell(listener -> listener.onHead(503, head));
        if (server.mDeclinedMillis.size() > mMostDeclined) {
            server.mDeclinedMillis.clear();
            crash(name);
        }
    }

    /** Calls the observer with the server of each request, once its answer has been chosen. */
    public void onAnswer(Consumer<String> observer) {
        mOnAnswer = observer;
    }

    public List<Arrival> arrivals() {
        return mArrivals;
    }

    /** Returns the number of requests at the server. */
    public int open(String name) {
        return server(name).mOpen.size();
    }

    public List<Crash> crashes() {
        return mCrashes;
    }

    /** Cuts the links between the routers and all servers; an earlier cut ends. */
    public void cutOff(Predicate<String> routers, LostLinks lostLinks) {
        cutOff(routers, server -> true, lostLinks);
    }

    /** Cuts the links between the routers and the servers; an earlier cut ends. */
    public void cutOff(Predicate<String> routers, Predicate<String> servers, LostLinks lostLinks) {
        mCutOffRouters = routers;
        mCutOffServers = servers;
        mLostLinks = lostLinks;
        if (lostLinks == LostLinks.RESET) {
            mServers.forEach(
                    (name, server) ->
                            List.copyOf(server.mOpen).stream()
                                    .filter(call -> isCut(call.mRouter, name))
                                    .forEach(
                                            call -> {
                                                server.mOpen.remove(call);
                                                call.fail(BackendFailure.CONNECTION_LOST);
                                            }));
            mIdleConnections.clear();
        }
    }

    /** Closes the connections on which no request is open. */
    public void dropIdleConnections() {
        mIdleConnections.clear();
    }

    /** Restores all links; connections that carried nothing meanwhile turn out to be dead. */
    public void restoreLinks() {
        List<Call> silenced =
                mServers.values().stream()
                        .flatMap(server -> server.mOpen.stream())
                        .filter(Call::silenced)
                        .toList();
        cutOff(router -> false, LostLinks.HANG);
        silenced.forEach(call -> server(call.mRequest.server().name()).mOpen.remove(call));
        List<Call> dead = Stream.concat(silenced.stream(), mHanging.stream()).toList();
        mHanging.clear();
        mTimers.after(DEAD_CONNECTION_TIME, () -> dead.forEach(Call::failSilenced));
    }

    private boolean isCut(String router, String server) {
        return mCutOffRouters.test(router) && mCutOffServers.test(server);
    }

    /** Returns the client by which the router reaches the servers. */
    public BackendClient clientOf(String router) {
        return (request, listener) -> {
            String server = request.server().name();
            boolean kept = mIdleConnections.merge(router + '>' + server, -1, Integer::sum) >= 0;
            if (!kept) {
                mIdleConnections.put(router + '>' + server, 0);
            }
            Call call = new Call(router, request, listener);
            if (!isCut(router, server) || (kept && mLostLinks == LostLinks.REFUSE)) {
                mTimers.after(Duration.ofMillis(1), () -> arrive(call));
            } else if (!kept) {
                call.mSent = false;
                mTimers.after(
                        mLostLinks == LostLinks.HANG ? CONNECT_TIMEOUT : Duration.ofMillis(1),
                        () -> call.fail(BackendFailure.NOT_CONNECTED));
            } else {
                mHanging.add(call);
            }
            return call;
        };
    }

    /** Returns the probe by which the router tries whether it reaches a server. */
    public ConnectProbe probeOf(String router) {
        return (address, timeout, onResult) -> {
            String server = address.split(":")[0];
            boolean cut = isCut(router, server);
            mProbes++;
            mTimers.after(
                    cut && mLostLinks == LostLinks.HANG ? timeout : Duration.ofMillis(1),
                    () -> onResult.accept(!cut && server(server).mUp));
        };
    }

    /** Returns how many connections were opened only to probe servers. */
    public int probes() {
        return mProbes;
    }

    private Server server(String name) {
        return mServers.computeIfAbsent(name, key -> new Server());
    }

    private void arrive(Call call) {
        String name = call.mRequest.server().name();
        Server server = server(name);
        if (!server.mUp) {
            call.fail(BackendFailure.NOT_CONNECTED);
            return;
        }
        mArrivals.add(
                new Arrival(mTimers.nowMillis(), call.mRouter, name, call.mRequest.headers()));
        if (server.mOpen.size() >= mRoom) {
            decline(name, call);
            return;
        }
        server.mOpen.add(call);
        mTimers.after(mAnswerBegins, () -> beginAnswer(name, call));
    }

    private void beginAnswer(String name, Call call) {
        if (!server(name).mOpen.contains(call)) {
            return;
        }
        String id = call.mRequest.headers().first("id").orElse("");
        HeaderFields fields = HeaderFields.of("id", id);
        for (var field : mAnswerFields.apply(name).fields()) {
            fields = fields.with(field.name(), field.value());
        }
        HeaderFields head = fields;
        int status = mStatus.apply(name);
        mOnAnswer.accept(name);
        call.tell(listener -> listener.onHead(status, head));
        if (mDeadly.test(call.mRequest)) {
            crash(name);
            return;
        }
        Duration interval = mAnswerTime.apply(name).dividedBy(PARTS);
        sendParts(name, call, PARTS, interval);
    }

    private void sendParts(String name, Call call, int parts, Duration interval) {
        if (!server(name).mOpen.contains(call)) {
            return;
        }
        if (parts == 0) {
            server(name).mOpen.remove(call);
            if (!call.silenced()) {
                mIdleConnections.merge(call.mRouter + '>' + name, 1, Integer::sum);
            }
            call.tell(BackendListener::onComplete);
            return;
        }
        call.tell(listener -> listener.onPart(StandardCharsets.UTF_8.encode(PART)));
        mTimers.after(interval, () -> sendParts(name, call, parts - 1, interval));
    }

    /** Ends the server; it is up again after three seconds. */
    public void crash(String name) {
        Server server = server(name);
        if (!server.mUp) {
            return;
        }
        server.mUp = false;
        mCrashes.add(new Crash(mTimers.nowMillis(), name));
        List.copyOf(server.mOpen).forEach(call -> call.fail(BackendFailure.CONNECTION_LOST));
        server.mOpen.clear();
        mTimers.after(
                DOWN_TIME,
                () -> {
                    server.mUp = true;
                    mOnRestart.accept(name, mTimers.epochMillis());
                });
    }

    private final class Call implements BackendCall {
        private final String mRouter;
        private final BackendRequest mRequest;
        private final BackendListener mListener;
        private boolean mCancelled;
        private boolean mSent = true;
        private boolean mSilenced;

        Call(String router, BackendRequest request, BackendListener listener) {
            mRouter = router;
            mRequest = request;
            mListener = listener;
        }

        private void tell(Consumer<BackendListener> event) {
            if (!mCancelled && !silenced()) {
                event.accept(mListener);
            }
        }

        /** Returns whether the connection is or was cut without a sign. */
        private boolean silenced() {
            mSilenced |=
                    mSent
                            && mLostLinks == LostLinks.HANG
                            && isCut(mRouter, mRequest.server().name());
            return mSilenced;
        }

        @Override
        public boolean mayHaveBeenSent() {
            return mSent;
        }

        private void failSilenced() {
            mSilenced = false;
            fail(BackendFailure.CONNECTION_LOST);
        }

        private void fail(BackendFailure failure) {
            tell(listener -> listener.onFailure(failure));
        }

        @Override
        public void pause() {}

        @Override
        public void resume() {}

        @Override
        public void cancel() {
            mCancelled = true;
            server(mRequest.server().name()).mOpen.remove(this);
        }
    }
}
