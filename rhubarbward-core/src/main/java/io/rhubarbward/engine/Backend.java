package io.rhubarbward.engine;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.config.Service;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** The facts known of one backend server; its state follows from them. */
final class Backend {
    /** One report or two go missing on a network without the engine being at fault. */
    private static final int LOST_AFTER_MISSED_REPORTS = 3;

    /** Two routers' reports that are taken this close together may arrive in the wrong order. */
    private static final long REORDER_MILLIS = 500;

    private final Deque<Long> mStarts = new ArrayDeque<>();
    private final FirstTokenTimes mFirstTokens = new FirstTokenTimes();
    private BackendServer mServer;
    private boolean mListed = true;
    private boolean mListedLeaving;
    private int mMissedReports;
    private EngineProgress mProgress = EngineProgress.NONE;
    private @Nullable EngineObservation mReport;

    Backend(BackendServer server) {
        mServer = server;
    }

    BackendServer server() {
        return mServer;
    }

    FirstTokenTimes firstTokens() {
        return mFirstTokens;
    }

    EngineProgress progress() {
        return mProgress;
    }

    @Nullable EngineObservation report() {
        return mReport;
    }

    /** Takes where the server is now; another address or version is another process. */
    void server(BackendServer server) {
        boolean replaced =
                !server.address().equals(mServer.address())
                        || !server.version().equals(mServer.version());
        mServer = server;
        if (replaced) {
            mProgress = EngineProgress.NONE;
            mReport = null;
            mMissedReports = 0;
            mFirstTokens.clear();
        }
    }

    void listed(boolean listed, boolean leaving) {
        mListed = listed;
        mListedLeaving = leaving;
    }

    boolean forgettable() {
        return !mListed && mStarts.isEmpty();
    }

    /** Takes an observation; returns why the engine is cold again, if it is. */
    Optional<ColdReason> observe(EngineObservation next) {
        if (outdated(next)) {
            return takeRampStart(next);
        }
        Optional<ColdReason> reason = mProgress.coldReason(next);
        reason.ifPresent(cold -> mFirstTokens.clear());
        mProgress = mProgress.after(next);
        mReport = next;
        mMissedReports = 0;
        return reason;
    }

    /** A peer that found the engine cold may know it by no newer report than this router's. */
    private Optional<ColdReason> takeRampStart(EngineObservation next) {
        if (!mProgress.rampBeganLater(next)) {
            return Optional.empty();
        }
        mProgress = mProgress.withRampStart(next.rampStart());
        mFirstTokens.clear();
        return Optional.of(ColdReason.TOLD_BY_PEER);
    }

    private boolean outdated(EngineObservation next) {
        if (mReport == null) {
            return false;
        }
        long newerBy = next.takenAtMillis() - mReport.takenAtMillis();
        boolean reordered =
                newerBy < REORDER_MILLIS
                        && next.incarnation() == mReport.incarnation()
                        && next.served() < mReport.served();
        return newerBy <= 0 || reordered || mProgress.outdated(next);
    }

    void missed() {
        mMissedReports++;
    }

    void started(long nowMillis) {
        mStarts.addLast(nowMillis);
    }

    void finished() {
        mStarts.pollFirst();
    }

    void completed() {
        mProgress = mProgress.withOwnCompletion();
    }

    void cool() {
        mProgress = mProgress.cooled();
        mFirstTokens.clear();
    }

    BackendStatus status(@Nullable Service service) {
        BackendState state = state(service);
        return new BackendStatus(
                mServer,
                state,
                service == null ? 0 : state.capacity(service, mProgress.completed()),
                mStarts.size(),
                startedSinceReport(),
                mReport);
    }

    BackendState state(@Nullable Service service) {
        if (!mListed || mListedLeaving || (mReport != null && mReport.leaving())) {
            return BackendState.LEAVING;
        }
        if (mMissedReports >= LOST_AFTER_MISSED_REPORTS) {
            return BackendState.LOST;
        }
        return service == null || service.kind() == Service.Kind.PLAIN
                ? BackendState.READY
                : BackendState.onRamp(service, mProgress.completed());
    }

    private int startedSinceReport() {
        long taken = mReport == null ? Long.MIN_VALUE : mReport.takenAtMillis();
        return (int) mStarts.stream().filter(start -> start >= taken).count();
    }
}
