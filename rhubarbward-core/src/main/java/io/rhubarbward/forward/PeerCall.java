package io.rhubarbward.forward;

import io.rhubarbward.placement.SendResult;
import io.rhubarbward.reach.ForwardingPeer;
import io.rhubarbward.reach.PeerHeaders;
import io.rhubarbward.reach.PeerRefusal;
import io.rhubarbward.request.BackendCall;
import io.rhubarbward.request.BackendFailure;
import io.rhubarbward.request.BackendListener;
import io.rhubarbward.request.BackendRequest;
import io.rhubarbward.request.ConnectionUse;
import io.rhubarbward.request.FinalStatus;
import io.rhubarbward.request.HeaderFields;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** One attempt to have a request served by another router, which reaches the backend servers. */
final class PeerCall implements BackendListener, OpenCall {
    private final ResolvedRequest mRequest;
    private final ForwardContext mContext;
    private final ForwardingPeer mPeer;
    private final Listener mListener;
    private @Nullable BackendCall mCall;
    private @Nullable DiscardedBody mDiscardedBody;
    private boolean mEnded;

    PeerCall(
            ResolvedRequest request,
            ForwardContext context,
            ForwardingPeer peer,
            Listener listener) {
        mRequest = request;
        mContext = context;
        mPeer = peer;
        mListener = listener;
    }

    /** Receives the progress of a call and then at most one of its ends. */
    interface Listener extends AnswerListener {
        /** The other router refused the request itself; an end. */
        void onPeerRefused(ForwardingPeer peer, PeerRefusal refusal);

        /** The call failed; an end. */
        void onPeerFailed(ForwardingPeer peer, SendResult result, boolean mayHaveRun);
    }

    ForwardingPeer peer() {
        return mPeer;
    }

    /**
     * Sends the request.
     *
     * @param remaining the time left until its deadline
     * @param attemptsLeft the number of servers that may still run it
     */
    void send(Duration remaining, int attemptsLeft) {
        HeaderFields headers =
                mContext.dialect()
                        .toPeer(PeerHeaders.strip(mRequest.caller().headers()), remaining)
                        .with(PeerHeaders.FORWARDED_BY, mContext.peers().self())
                        .with(PeerHeaders.ATTEMPTS_LEFT, Integer.toString(attemptsLeft))
                        .with(
                                PeerHeaders.CATALOG_VERSION,
                                Long.toString(mContext.peers().minCatalogVersion()));
        mPeer.recordSend();
        mCall =
                mContext.backends()
                        .send(
                                new BackendRequest(
                                        mPeer.endpoint(),
                                        mRequest.caller().method(),
                                        mRequest.caller().target(),
                                        headers,
                                        mRequest.caller().body()),
                                this);
        if (mEnded) {
            mCall.cancel();
        }
    }

    @Override
    public void onCallerWritable(boolean writable) {
        if (mCall != null && !mEnded) {
            if (writable) {
                mCall.resume();
            } else {
                mCall.pause();
            }
        }
    }

    @Override
    public String receiver() {
        return mPeer.name();
    }

    @Override
    public ConnectionUse connection() {
        return mCall == null ? ConnectionUse.UNKNOWN : mCall.connection();
    }

    @Override
    public void cancel(SendResult result) {
        if (end(result) && mCall != null) {
            mCall.cancel();
        }
    }

    @Override
    public boolean mayHaveBeenSent() {
        return mCall == null || mCall.mayHaveBeenSent();
    }

    @Override
    public void onHead(int status, HeaderFields headers) {
        if (mEnded) {
            return;
        }
        if (!FinalStatus.isValid(status)) {
            fail();
            return;
        }
        ResponseMetadata metadata = mContext.dialect().readAnswer(status, headers);
        Optional<PeerRefusal> refusal = headers.first(PeerHeaders.REFUSAL).map(PeerRefusal::decode);
        if (!answersThisAttempt(metadata, refusal.isPresent())) {
            fail();
        } else if (refusal.isPresent()) {
            if (end(SendResult.SHED)) {
                if (mCall != null) {
                    mDiscardedBody = new DiscardedBody(mCall, mContext.timers());
                }
                mListener.onPeerRefused(mPeer, refusal.get());
            }
        } else if (metadata.genuine()) {
            if (metadata.leaving()) {
                recordLeaving(headers);
            }
            mListener.onHead(status, PeerHeaders.strip(headers));
        } else {
            fail();
        }
    }

    /** Records that the server leaves: its caller is told so by this router too. */
    private void recordLeaving(HeaderFields headers) {
        headers.first(PeerHeaders.SERVER).stream()
                .flatMap(
                        incarnation ->
                                mContext.table().servers(mRequest.service().name()).stream()
                                        .filter(
                                                server ->
                                                        Long.toString(server.incarnation())
                                                                .equals(incarnation)))
                .forEach(mContext.table()::recordLeaving);
    }

    /**
     * Returns whether the answer names this attempt. Routers of earlier builds do not name it in
     * refusals: such a one is taken on a new connection, where it can be no earlier request's.
     */
    private boolean answersThisAttempt(ResponseMetadata metadata, boolean refused) {
        return metadata.attemptId()
                .map(mRequest.metadata().attemptId()::equals)
                .orElse(refused && mCall != null && !connection().kept());
    }

    private void fail() {
        if (end(SendResult.BROKEN)) {
            if (mCall != null) {
                mCall.cancel();
            }
            mListener.onPeerFailed(mPeer, SendResult.BROKEN, true);
        }
    }

    @Override
    public void onPart(ByteBuffer part) {
        if (mDiscardedBody != null) {
            mDiscardedBody.onPart(part);
        }
        if (!mEnded) {
            mListener.onPart(part);
        }
    }

    @Override
    public void onComplete() {
        endDiscardedBody();
        if (end(SendResult.ANSWERED)) {
            mListener.onComplete();
        }
    }

    private void endDiscardedBody() {
        if (mDiscardedBody != null) {
            mDiscardedBody.onEnd();
        }
    }

    @Override
    public void onFailure(BackendFailure failure) {
        endDiscardedBody();
        SendResult result = failure.provesNotRun() ? SendResult.UNREACHABLE : SendResult.BROKEN;
        if (end(result)) {
            mListener.onPeerFailed(mPeer, result, !failure.provesNotRun());
        }
    }

    private boolean end(SendResult result) {
        if (mEnded) {
            return false;
        }
        mEnded = true;
        mPeer.recordEnd();
        mContext.metrics().countForwarded(result.name());
        return true;
    }
}
