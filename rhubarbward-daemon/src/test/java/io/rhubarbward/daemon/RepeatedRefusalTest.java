package io.rhubarbward.daemon;

import static com.google.common.truth.Truth.assertThat;

import io.rhubarbward.event.EventLog;
import io.rhubarbward.standin.fleet.CallerStandin;
import io.rhubarbward.standin.fleet.ReplicaConnection;
import io.rhubarbward.standin.fleet.ReplicaRequest;
import io.rhubarbward.standin.fleet.ScriptedReplica;
import java.io.IOException;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Copies of refusals that reach a router while the refused request is under way again. */
@Timeout(60)
final class RepeatedRefusalTest {
    /** Guards against a caller that is told that its request did not run, although it ran. */
    @Test
    void aCopyOfARefusalByTheNameBeforeIsNotTheAnswerToTheSendThatRuns() throws IOException {
        sendToReplicaWithFormerNames(List.of("i-1"));
    }

    /** Guards against the same where the connection of the refusal is free again. */
    @Test
    void aCopyOfTheFirstOfTwoRefusalsIsNotTheAnswerToTheSendThatRuns() throws IOException {
        sendToReplicaWithFormerNames(List.of("i-1", "i-2"));
    }

    private static void sendToReplicaWithFormerNames(List<String> formerNames) throws IOException {
        try (ScriptedFleet fleet = new ScriptedFleet()) {
            ScriptedReplica replica = fleet.startReplica(new CopiesFirstRefusal());
            formerNames.forEach(name -> fleet.list(replica, name));
            fleet.list(replica, CopiesFirstRefusal.NAME);
            FleetRouterDaemon router = fleet.startRouter(EventLog.none());
            CallerStandin.Reply reply =
                    new CallerStandin(router.callersPort()).send("POST", "/plain/1", "r-1");
            assertThat(replica.record().sends("r-1")).isEqualTo(formerNames.size() + 1);
            assertThat(replica.record().runs("r-1")).hasSize(1);
            assertThat(reply.status()).isAnyOf(200, 502);
        }
    }

    /**
     * A replica whose former names are listed too. When a send to its present name comes, it writes
     * a copy of the first refusal on the connection that carried it, and runs the request.
     */
    private static final class CopiesFirstRefusal implements ScriptedReplica.Behaviour {
        /** The last of the names in order, in which routers choose among idle plain servers. */
        static final String NAME = "i-9";

        private @Nullable ReplicaConnection mFirstRefused;

        @Override
        public void serve(ReplicaRequest request) {
            if (!request.expectedInstance().equals(NAME)) {
                request.declineMisdirected();
                if (mFirstRefused == null) {
                    mFirstRefused = request.connection();
                }
                return;
            }
            if (mFirstRefused != null) {
                mFirstRefused.writeCopy(mFirstRefused.refusals().get(0).whole(), "", false);
            }
            request.run(200);
        }
    }
}
