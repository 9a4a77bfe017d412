package io.rhubarbward.forward;

import io.rhubarbward.reach.ReachState;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** Chooses the other routers through which one request goes, one after the other. */
final class PeerForwarder {
    /** Routers that one request may be forwarded to. */
    private static final int MAX_PEERS = 3;

    private final ResolvedRequest mRequest;
    private final ForwardContext mContext;
    private final PeerCall.Listener mListener;
    private final Set<String> mTriedPeers = new HashSet<>();

    PeerForwarder(ResolvedRequest request, ForwardContext context, PeerCall.Listener listener) {
        mRequest = request;
        mContext = context;
        mListener = listener;
    }

    /** Returns whether only another router can serve the request now. */
    boolean onlyWay() {
        return !mRequest.forwarded() && mContext.reach().state() == ReachState.CUT_OFF;
    }

    /** Returns a call to another router if this one's links are in doubt and one would forward. */
    Optional<PeerCall> callIfInDoubt() {
        return !mRequest.forwarded() && mContext.reach().state().doubtful()
                ? call()
                : Optional.empty();
    }

    /** Returns a call to the next router, which is to be sent; empty if there is none. */
    Optional<PeerCall> call() {
        if (mTriedPeers.size() >= MAX_PEERS) {
            return Optional.empty();
        }
        return mContext.peers()
                .choose(mTriedPeers)
                .map(
                        peer -> {
                            mTriedPeers.add(peer.name());
                            return new PeerCall(mRequest, mContext, peer, mListener);
                        });
    }
}
