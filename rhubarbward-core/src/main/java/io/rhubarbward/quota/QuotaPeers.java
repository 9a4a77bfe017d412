package io.rhubarbward.quota;

import io.rhubarbward.membership.PeerMessage;

/** Carries the quota slice's messages to a router, which may be the own one. */
@FunctionalInterface
interface QuotaPeers {
    void send(String vm, PeerMessage message);
}
