package io.rhubarbward.request;

import io.rhubarbward.membership.Membership;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.request.quarantine.Quarantine;
import io.rhubarbward.request.quarantine.SuspectNotices;

/** Connects the crash quarantine with the other routers. */
public final class QuarantineGossip {
    private QuarantineGossip() {}

    /** Passes peers' notices to the quarantine, and announces its suspects when the VMs change. */
    public static void connect(
            Quarantine quarantine, Membership membership, PeerTransport transport) {
        transport.subscribe(SuspectNotices.class, quarantine::onNotices);
        membership.subscribe(vms -> quarantine.announceAll());
    }

    /** Sends the notices to every other router. */
    public static void broadcast(
            Membership membership, PeerTransport transport, SuspectNotices notices) {
        membership.peers().forEach(peer -> transport.send(peer, notices));
    }
}
