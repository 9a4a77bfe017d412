package io.rhubarbward.request;

import io.rhubarbward.membership.Membership;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.request.quarantine.Quarantine;
import io.rhubarbward.request.quarantine.SuspectNotices;

/** Connects the parts of this slice that speak with other routers. */
public final class RequestSlice {
    private RequestSlice() {}

    /** Sends the quarantine what peers say of suspects, and peers what it says. */
    public static void connect(
            Quarantine quarantine, Membership membership, PeerTransport transport) {
        transport.subscribe(SuspectNotices.class, quarantine::onNotices);
        membership.subscribe(vms -> quarantine.tellAll());
    }

    /** Sends the notices to every other router. */
    public static void tell(
            Membership membership, PeerTransport transport, SuspectNotices notices) {
        membership.peers().forEach(peer -> transport.send(peer, notices));
    }
}
