package io.rhubarbward.node;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.relay.SuspectNews;
import io.rhubarbward.testing.RouterFleet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Pattern: many servers are lost at once, during more requests than routers keep suspects.
 *
 * <p>The messages about it must stay few, as one aggregator handles those of a whole data centre.
 */
final class SuspectTrafficTest {
    private static final int ROUTERS = 12;
    private static final int SERVERS = 16;
    private static final int LOST_SERVERS = 12;
    private static final int LOST_REQUESTS = 400;

    /** Time in which every router that is in touch with the others must know. */
    private static final int CONTACT_MILLIS = 3000;

    /**
     * Pairs of routers that send each other news: nine routers and their aggregators, each way, and
     * three aggregators and two routers of each other data centre.
     */
    private static final int LINKS = 2 * 9 + 3 * 4;

    /** Messages a second on such a link, whatever the number of requests. */
    private static final int MESSAGES_PER_SECOND = 4;

    /** Messages in the contact time above which the links are cut, so that a flood of them ends. */
    private static final int FLOOD = LINKS * MESSAGES_PER_SECOND * CONTACT_MILLIS / 1000;

    private int mMessages;
    private int mMostMessages = FLOOD;

    private RouterFleet fleetThatLosesServers(long seed) {
        RouterFleet fleet = new RouterFleet(seed, ROUTERS, SERVERS);
        for (int request = 0; request < LOST_REQUESTS; request++) {
            sendSound(fleet, request);
            fleet.advance(1);
        }
        fleet.mPeers.onSend(
                message -> {
                    if (message instanceof SuspectNews) {
                        mMessages++;
                    }
                });
        fleet.mPeers.cut((from, to) -> mMessages > mMostMessages);
        IntStream.range(0, LOST_SERVERS).forEach(index -> fleet.mServers.crash("e-" + index));
        return fleet;
    }

    private static void sendSound(RouterFleet fleet, int request) {
        fleet.send("sys-" + request % 3 + ",doc-" + request % 97);
    }

    // Guards against incident 36: aggregators sent each other the same suspects without end.
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void routersSettleAfterMoreRequestsWereLostThanTheyKeep(long seed) {
        RouterFleet fleet = fleetThatLosesServers(seed);
        fleet.advance(CONTACT_MILLIS);
        int settled = mMessages;
        fleet.advance(1000);
        assertThat(mMessages).isEqualTo(settled);
        assertThat(mMessages).isAtMost(FLOOD);
    }

    // Guards against incident 36: each answer to a sound request became news for every router.
    @Test
    void answersToSoundRequestsCauseFewMessages() {
        RouterFleet fleet = fleetThatLosesServers(1);
        fleet.advance(CONTACT_MILLIS);
        int settled = mMessages;
        mMostMessages += FLOOD;
        for (int request = 0; request < CONTACT_MILLIS / 10; request++) {
            sendSound(fleet, request);
            fleet.advance(10);
        }
        assertThat(mMessages - settled).isAtMost(FLOOD);
    }
}
