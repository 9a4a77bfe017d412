package io.rhubarbward.engine;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.config.Service;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** The registry's record of one backend server, from which its {@link BackendState} is derived. */
final class Backend {
    /** The network may lose one or two reports of a healthy engine. */
    private static final int MAX_MISSED_REPORTS = 3;

    /** Reports that two routers fetched within this time may arrive out of order. */
    private static final long MAX_REORDER_MILLIS = 500;

    /** When each request in flight was sent, oldest first. */
    private final Deque<Long> mSentMillis = new ArrayDeque<>();

    private final FirstTokenLatencies mFirstTokenLatencies = new FirstTokenLatencies();
    private BackendServer mServer;
    private boolean mListed = true;
    private boolean mListedLeaving;
    private int mMissedReports;
    private SlowStartProgress mProgress = SlowStartProgress.NONE;
    private @Nullable EngineObservation mReport;

    Backend(BackendServer server) {
        mServer = server;
    }

    BackendServer server() {
        return mServer;
    }

    FirstTokenLatencies firstTokenLatencies() {
        return mFirstTokenLatencies;
    }

    SlowStartProgress progress() {
        return mProgress;
    }

    @Nullable EngineObservation report() {
        return mReport;
    }

    /** Replaces the server's entry; a new address or version means a new process. */
    void updateServer(BackendServer server) {
        boolean replaced =
                !server.address().equals(mServer.address())
                        || !server.version().equals(mServer.version());
        mServer = server;
        if (replaced) {
            mProgress = SlowStartProgress.NONE;
            mReport = null;
            mMissedReports = 0;
            mFirstTokenLatencies.clear();
        }
    }

    /**
     * Records what the settings and the VM list say of the server.
     *
     * @param listed whether the settings or the VM list contain it
     * @param leaving whether the VM list shows it as leaving
     */
    void updateListing(boolean listed, boolean leaving) {
        mListed = listed;
        mListedLeaving = leaving;
    }

    boolean removable() {
        return !mListed && mSentMillis.isEmpty();
    }

    /** Applies an observation; returns why the engine is cold again, if it is. */
    Optional<ColdReason> observe(EngineObservation next) {
        if (isStale(next)) {
            return adoptRampStart(next);
        }
        Optional<ColdReason> reason = mProgress.coldReason(next);
        reason.ifPresent(cold -> mFirstTokenLatencies.clear());
        mProgress = mProgress.after(next);
        mReport = next;
        mMissedReports = 0;
        return reason;
    }

    /** Even a stale observation can show that a peer found the engine cold more recently. */
    private Optional<ColdReason> adoptRampStart(EngineObservation next) {
        if (!mProgress.isRampStartLaterIn(next)) {
            return Optional.empty();
        }
        mProgress = mProgress.withRampStart(next.rampStart());
        mFirstTokenLatencies.clear();
        return Optional.of(ColdReason.TOLD_BY_PEER);
    }

    private boolean isStale(EngineObservation next) {
        if (mReport == null) {
            return false;
        }
        long newerByMillis = next.takenAtMillis() - mReport.takenAtMillis();
        boolean reordered =
                newerByMillis < MAX_REORDER_MILLIS
                        && next.incarnation() == mReport.incarnation()
                        && next.served() < mReport.served();
        return newerByMillis <= 0 || reordered || mProgress.isOfPreviousIncarnation(next);
    }

    void reportMissed() {
        mMissedReports++;
    }

    void requestSent(long nowMillis) {
        mSentMillis.addLast(nowMillis);
    }

    void requestEnded() {
        mSentMillis.pollFirst();
    }

    void requestCompleted() {
        mProgress = mProgress.withLocalCompletion();
    }

    void markCold() {
        mProgress = mProgress.withRampRestarted();
        mFirstTokenLatencies.clear();
    }

    BackendStatus status(@Nullable Service service) {
        BackendState state = state(service);
        return new BackendStatus(
                mServer,
                state,
                service == null ? 0 : state.capacity(service, mProgress.completedOnRamp()),
                mSentMillis.size(),
                sentSinceReport(),
                mReport);
    }

    BackendState state(@Nullable Service service) {
        if (!mListed || mListedLeaving || (mReport != null && mReport.leaving())) {
            return BackendState.LEAVING;
        }
        if (mMissedReports >= MAX_MISSED_REPORTS) {
            return BackendState.LOST;
        }
        return service == null || service.kind() == Service.Kind.PLAIN
                ? BackendState.READY
                : BackendState.ofLiveEngine(service, mProgress.completedOnRamp());
    }

    private int sentSinceReport() {
        long takenAtMillis = mReport == null ? Long.MIN_VALUE : mReport.takenAtMillis();
        return (int) mSentMillis.stream().filter(sent -> sent >= takenAtMillis).count();
    }
}
