package io.rhubarbward.quota;

import io.rhubarbward.membership.PeerMessage;

/** Sends quota messages to a router, which may be this one. */
@FunctionalInterface
interface QuotaMessageSender {
    void send(String vm, PeerMessage message);
}
