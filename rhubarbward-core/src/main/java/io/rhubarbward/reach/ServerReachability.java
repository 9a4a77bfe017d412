package io.rhubarbward.reach;

import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.placement.SendResult;
import io.rhubarbward.placement.ServerTable;
import io.rhubarbward.placement.TrackedServer;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Detects from this router's own calls and from probes that it reaches no backend server.
 *
 * <p>Calls that fail without a connection, or to which nothing is heard, make the router suspect
 * its links. It then tries to open connections to servers of several services and data centres. One
 * that comes about shows that the failures are the servers' own. If none does, the router is cut
 * off, until a later probe succeeds. Nothing is probed while calls are answered.
 *
 * <p>Whether a connection comes about decides, and not whether old connections still work: these
 * may outlive the way by which they were made.
 */
public final class ServerReachability implements Reachability {
    /** How long a probe waits for a connection, which takes a few milliseconds. */
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(300);

    /** Time between probes while this router is cut off. */
    private static final Duration PROBE_PERIOD = Duration.ofMillis(250);

    /** Servers that are probed at the same time on a suspicion. */
    private static final int SUSPICION_PROBES = 12;

    /** Servers that are probed at the same time while this router is cut off. */
    private static final int CUT_OFF_PROBES = 2;

    /** Time in which the failures of two servers make the router suspect its links. */
    private static final long EVIDENCE_MILLIS = 1000;

    /**
     * Time without any sign of a server, while answers are due, that makes a router suspicious;
     * doubles with each suspicion that proves wrong, as servers may just be slow to answer.
     */
    private static final long MIN_SILENCE_MILLIS = 300;

    private static final long MAX_SILENCE_MILLIS = 5000;

    /** Time after which the shortest silence counts again. */
    private static final long SILENCE_RESET_MILLIS = 60_000;

    /** Shortest time between two suspicions. */
    private static final long MIN_SUSPICION_INTERVAL_MILLIS = 1000;

    /** Time in which a suspicion arises, if several connections are lost in the same moment. */
    private static final Duration CONFIRMATION_DELAY = Duration.ofMillis(50);

    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final ServerTable mTable;
    private final ConnectProbe mProbe;
    private final TimerService mTimers;
    private final EventLog mEvents;
    private final List<Consumer<ReachState>> mSubscribers = new ArrayList<>();
    private final List<Runnable> mAwaitingVerdict = new ArrayList<>();
    private final Map<Object, OpenCall> mOpenCalls = new HashMap<>();

    /** When a call last failed at each server, for the servers of recent failures. */
    private final Map<TrackedServer, Long> mFailedMillis = new HashMap<>();

    private ReachState mState = ReachState.CONNECTED;
    private long mHeardMillis = NEVER_MILLIS;
    private long mSuspectedMillis = NEVER_MILLIS;

    /** Time of the first failure that this router's links may explain. */
    private long mDoubtedFromMillis = NEVER_MILLIS;

    private long mDoubtEndedMillis = NEVER_MILLIS;
    private long mSilenceMillis = MIN_SILENCE_MILLIS;
    private int mNextProbe;
    private int mOpenProbes;
    private int mRound;

    /** A call that has not ended. */
    private static final class OpenCall {
        private final TrackedServer mServer;
        private final long mSentMillis;
        private boolean mHeard;

        OpenCall(TrackedServer server, long sentMillis) {
            mServer = server;
            mSentMillis = sentMillis;
        }

        boolean silent(long sinceMillis) {
            return !mHeard && mSentMillis <= sinceMillis;
        }
    }

    /** Creates a detector that believes the servers to be reachable. */
    public ServerReachability(
            ServerTable table, ConnectProbe probe, TimerService timers, EventLog events) {
        mTable = table;
        mProbe = probe;
        mTimers = timers;
        mEvents = events;
    }

    /** Calls the subscriber with each new state. */
    public void subscribe(Consumer<ReachState> subscriber) {
        mSubscribers.add(subscriber);
    }

    @Override
    public ReachState state() {
        return mState;
    }

    @Override
    public void onSent(Object call, TrackedServer server) {
        mOpenCalls.put(call, new OpenCall(server, mTimers.nowMillis()));
    }

    @Override
    public void onHeard(Object call) {
        mHeardMillis = mTimers.nowMillis();
        OpenCall open = mOpenCalls.get(call);
        if (open != null) {
            open.mHeard = true;
            open.mServer.recordHeard(mHeardMillis);
        }
    }

    @Override
    public SendResult onEnded(
            Object call, TrackedServer server, SendResult result, Runnable ifServersFault) {
        OpenCall open = mOpenCalls.remove(call);
        long now = mTimers.nowMillis();
        long sentMillis = open == null ? now : open.mSentMillis;
        if (losesTouch(result)) {
            onLost(server, sentMillis, now);
        }
        boolean ownLinks = mState.doubtful() || sentMillis <= mDoubtEndedMillis;
        if (!ownLinks || !mayBeDueToLinks(result)) {
            return result;
        }
        if (mState == ReachState.SUSPECTED) {
            mAwaitingVerdict.add(ifServersFault);
        }
        return SendResult.CANCELLED;
    }

    private static boolean losesTouch(SendResult result) {
        return result == SendResult.UNREACHABLE
                || result == SendResult.RESET
                || result == SendResult.SILENT;
    }

    private static boolean mayBeDueToLinks(SendResult result) {
        return losesTouch(result) || result == SendResult.BROKEN || result == SendResult.TIMED_OUT;
    }

    private void onLost(TrackedServer server, long sentMillis, long now) {
        if (mState.doubtful()) {
            return;
        }
        mFailedMillis.values().removeIf(failed -> now - failed > EVIDENCE_MILLIS);
        mFailedMillis.put(server, now);
        if (mHeardMillis < sentMillis || mFailedMillis.size() > 1) {
            suspect(now, Math.min(sentMillis, earliestFailure(now)));
        }
    }

    private long earliestFailure(long now) {
        return mFailedMillis.values().stream().mapToLong(Long::longValue).min().orElse(now);
    }

    /** Suspects the links if answers are due and no server was heard for a while. */
    public void checkSilence() {
        long now = mTimers.nowMillis();
        if (now - mSuspectedMillis > SILENCE_RESET_MILLIS) {
            mSilenceMillis = MIN_SILENCE_MILLIS;
        }
        long sinceMillis = now - mSilenceMillis;
        if (mState.doubtful() || mHeardMillis > sinceMillis) {
            return;
        }
        long silentServers =
                mOpenCalls.values().stream()
                        .filter(open -> open.silent(sinceMillis))
                        .map(open -> open.mServer)
                        .distinct()
                        .count();
        if (silentServers > 1) {
            suspect(now, sinceMillis);
            mSilenceMillis = Math.min(MAX_SILENCE_MILLIS, 2 * mSilenceMillis);
        }
    }

    private void suspect(long now, long sinceMillis) {
        if (now - mSuspectedMillis < MIN_SUSPICION_INTERVAL_MILLIS) {
            return;
        }
        List<TrackedServer> targets = probeTargets();
        if (targets.isEmpty()) {
            return;
        }
        mSuspectedMillis = now;
        mDoubtedFromMillis = sinceMillis;
        change(ReachState.SUSPECTED);
        mNextProbe = 0;
        probe(SUSPICION_PROBES);
    }

    /**
     * Returns the servers to probe: of each service and data centre the one that was heard last,
     * then the next ones.
     */
    private List<TrackedServer> probeTargets() {
        Map<String, List<TrackedServer>> groups =
                mTable.servers().stream()
                        .filter(server -> !server.leaving())
                        .sorted(
                                Comparator.comparing(
                                                (TrackedServer server) -> -server.heardMillis())
                                        .thenComparing(server -> server.server().name()))
                        .collect(
                                Collectors.groupingBy(
                                        server ->
                                                server.server().service()
                                                        + '/'
                                                        + server.server().dataCentre()));
        List<TrackedServer> targets = new ArrayList<>();
        int longest = groups.values().stream().mapToInt(List::size).max().orElse(0);
        for (int rank = 0; rank < longest; rank++) {
            int index = rank;
            groups.values().stream()
                    .filter(group -> index < group.size())
                    .forEach(group -> targets.add(group.get(index)));
        }
        return targets;
    }

    private void probe(int count) {
        List<TrackedServer> targets = probeTargets();
        int round = ++mRound;
        Set<TrackedServer> probed = new HashSet<>();
        for (int i = 0; i < Math.min(count, targets.size()); i++) {
            probed.add(targets.get(mNextProbe++ % targets.size()));
        }
        mOpenProbes = probed.size();
        probed.forEach(
                server ->
                        mProbe.connect(
                                server.server().address(),
                                PROBE_TIMEOUT,
                                connected -> onProbed(round, server, connected)));
        if (probed.isEmpty()) {
            mTimers.after(PROBE_PERIOD, this::probeAgain);
        }
    }

    private void onProbed(int round, TrackedServer server, boolean connected) {
        if (round != mRound || !mState.doubtful()) {
            return;
        }
        if (connected) {
            onConnected(server);
            return;
        }
        mOpenProbes--;
        if (mOpenProbes == 0) {
            if (mState == ReachState.SUSPECTED) {
                onCutOff();
            }
            mTimers.after(PROBE_PERIOD, this::probeAgain);
        }
    }

    private void probeAgain() {
        if (mState == ReachState.CUT_OFF) {
            probe(CUT_OFF_PROBES);
        }
    }

    private void onCutOff() {
        long now = mTimers.nowMillis();
        mEvents.log(
                LogEvent.SERVERS_UNREACHABLE,
                EventField.of("sinceMs", now - mDoubtedFromMillis),
                EventField.of("heardMsAgo", mHeardMillis == NEVER_MILLIS ? -1 : now - mHeardMillis),
                EventField.of("failedServers", mFailedMillis.size()),
                EventField.of("openCalls", mOpenCalls.size()),
                EventField.of("listed", mTable.servers().size()));
        mTable.forgetFailuresSince(mDoubtedFromMillis);
        mAwaitingVerdict.clear();
        mSilenceMillis = MIN_SILENCE_MILLIS;
        change(ReachState.CUT_OFF);
    }

    private void onConnected(TrackedServer server) {
        long now = mTimers.nowMillis();
        boolean wasCutOff = mState == ReachState.CUT_OFF;
        mFailedMillis.clear();
        if (wasCutOff) {
            mDoubtEndedMillis = now;
            mTable.forgetFailuresSince(mDoubtedFromMillis);
            mEvents.log(
                    LogEvent.SERVERS_REACHABLE,
                    EventField.of("server", server.server().name()),
                    EventField.of("afterMs", now - mDoubtedFromMillis));
        }
        change(ReachState.CONNECTED);
        List<Runnable> confirmed = List.copyOf(mAwaitingVerdict);
        mAwaitingVerdict.clear();
        confirmed.forEach(Runnable::run);
    }

    private void change(ReachState state) {
        mState = state;
        List.copyOf(mSubscribers).forEach(subscriber -> subscriber.accept(state));
    }

    @Override
    public void whenConfirmed(long sentMillis, Runnable action) {
        if (sentMillis <= mDoubtEndedMillis) {
            return;
        }
        mTimers.after(
                CONFIRMATION_DELAY,
                () -> {
                    if (mState == ReachState.SUSPECTED) {
                        mAwaitingVerdict.add(action);
                    } else if (mState == ReachState.CONNECTED) {
                        action.run();
                    }
                });
    }
}
