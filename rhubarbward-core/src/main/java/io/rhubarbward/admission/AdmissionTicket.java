package io.rhubarbward.admission;

/**
 * One request's way through {@link FleetAdmission}, from its arrival to the end of its response.
 *
 * <p>The request waits at most until {@link #onSent}; {@link #end} must follow in any case.
 */
public final class AdmissionTicket {
    private final FleetAdmission mAdmission;
    private final AdmissionRequest mRequest;
    private final Listener mListener;
    private final AdmissionQueue.Entry mEntry;
    private long mWaitingSinceMillis;
    private long mMaxWaitMillis;
    private boolean mHasWaited;
    private boolean mAdmitted;
    private boolean mCounted;
    private long mSentMillis;

    AdmissionTicket(FleetAdmission admission, AdmissionRequest request, Listener listener) {
        mAdmission = admission;
        mRequest = request;
        mListener = listener;
        mEntry = admission.queue().newEntry(request.service().name(), request, new QueueListener());
    }

    /** Continues a request that waits. */
    public interface Listener {
        /** The request may be placed now. */
        void onAdmitted();

        /** The request has waited in vain, and was not sent. */
        void onRefused(AdmissionDecision.Refused refused);
    }

    /** Decides on the request; one that waits is in the queue then. */
    public AdmissionDecision decide() {
        return enqueueIfWaiting(mAdmission.decide(mRequest, mEntry));
    }

    /** Decides on the request after no server had room for it; it waits or is refused. */
    public AdmissionDecision onServersFull() {
        return enqueueIfWaiting(
                mHasWaited
                        ? new AdmissionDecision.Waits(
                                AdmissionDecision.Cause.SERVERS_FULL, mMaxWaitMillis)
                        : mAdmission.putOff(
                                mRequest, mEntry, AdmissionDecision.Cause.SERVERS_FULL));
    }

    private AdmissionDecision enqueueIfWaiting(AdmissionDecision decision) {
        if (!(decision instanceof AdmissionDecision.Waits waits)) {
            return decision;
        }
        if (!mHasWaited) {
            mHasWaited = true;
            mWaitingSinceMillis = mAdmission.timers().nowMillis();
            mMaxWaitMillis = waits.maxWaitMillis();
        }
        mAdmission.service(mRequest).onWaitingChanged();
        mEntry.enqueue(mMaxWaitMillis);
        if (waits.cause() == AdmissionDecision.Cause.OTHERS_WAIT) {
            // Those that wait may have room already and would notice at the next period only.
            giveTurn();
        }
        return decision;
    }

    /** Returns whether the request waits in the queue. */
    public boolean waiting() {
        return mEntry.waiting();
    }

    /** Records that the request is sent to a server, for the first time or again. */
    public void onSent() {
        if (!mCounted) {
            mCounted = true;
            mAdmission.service(mRequest).add(mRequest);
        }
        if (!mAdmitted) {
            mAdmitted = true;
            mSentMillis = mAdmission.timers().nowMillis();
            mAdmission
                    .metrics()
                    .countDecision(mRequest.service().name(), mRequest.rank(), "admitted");
            observeWait();
            mEntry.onCapacityFound();
        }
    }

    /** Records that the response has begun to arrive. */
    public void onResponseBegun() {
        if (mCounted) {
            mAdmission.times(mRequest).recordBegin(sinceSentMillis());
        }
    }

    /** Records that the response is whole. */
    public void onResponseWhole() {
        if (mCounted) {
            mAdmission.times(mRequest).recordWhole(sinceSentMillis());
        }
    }

    private long sinceSentMillis() {
        return mAdmission.timers().nowMillis() - mSentMillis;
    }

    /** Leaves the queue and frees the places, since another router serves the request. */
    public void moveToOtherRouter() {
        if (!mAdmitted) {
            observeWait();
        }
        mEntry.leave();
        mAdmission.service(mRequest).onWaitingChanged();
        free();
    }

    /** Ends the request: it leaves the queue, and its places are free. */
    public void end() {
        moveToOtherRouter();
        if (mHasWaited && !mAdmitted) {
            // It may have left after it got a turn, which the next request can use.
            giveTurn();
        }
    }

    private void free() {
        if (mCounted) {
            mCounted = false;
            mAdmission.service(mRequest).remove(mRequest, mAdmission.timers().nowMillis());
            giveTurn();
        }
    }

    /** Gives the next request a turn, after what is done now. */
    private void giveTurn() {
        mAdmission
                .timers()
                .execute(() -> mAdmission.queue().onCapacityFreed(mRequest.service().name()));
    }

    private void observeWait() {
        if (mHasWaited && mWaitingSinceMillis >= 0) {
            mAdmission
                    .metrics()
                    .observeWait(
                            mRequest.service().name(),
                            mAdmission.timers().nowMillis() - mWaitingSinceMillis);
            mWaitingSinceMillis = -1;
        }
    }

    /** Gives the request its turn, or refuses it. */
    private final class QueueListener implements AdmissionQueue.EntryListener {
        @Override
        public AdmissionQueue.Readiness readiness() {
            return mAdmission.readiness(mRequest);
        }

        @Override
        public void onTurn() {
            mAdmission.service(mRequest).onWaitingChanged();
            mListener.onAdmitted();
        }

        @Override
        public void onRefused() {
            long waitedMillis = mAdmission.timers().nowMillis() - mWaitingSinceMillis;
            mListener.onRefused(
                    mAdmission.refuse(
                            mRequest,
                            waitedMillis >= mMaxWaitMillis
                                    ? AdmissionDecision.Cause.WAIT_OVER
                                    : AdmissionDecision.Cause.QUEUE_FULL));
        }
    }
}
