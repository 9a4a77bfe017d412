package io.rhubarbward.move;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.config.Settings;
import io.rhubarbward.engine.BackendRegistry;
import io.rhubarbward.hash.RendezvousHash;
import io.rhubarbward.routing.RouteQuery;
import io.rhubarbward.routing.VersionFilter;
import java.util.Optional;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Sends each chat to one version while a rollout is under way.
 *
 * <p>A hash of the chat against the share decides, so that all routers agree without messages and a
 * growing share only moves chats to the new version. Requests without a chat are spread by a
 * low-discrepancy sequence of this router's own.
 */
public final class CohortFilter implements VersionFilter {
    private static final double GOLDEN_RATIO_FRACTION = 0.6180339887498949;
    private static final int HASH_BITS = 53;
    private static final double HASH_SCALE = 1.0 / (1L << HASH_BITS);

    private final RolloutBoard mBoard;
    private final BackendRegistry mRegistry;
    private final Supplier<Optional<Settings>> mSettings;
    private double mNextWithoutChat;
    private @Nullable RouteQuery mQuery;
    private Choice mChoice = Choice.ANY;

    /** Filters for the router on the named VM. */
    public CohortFilter(
            RolloutBoard board,
            BackendRegistry registry,
            Supplier<Optional<Settings>> settings,
            String vm) {
        mBoard = board;
        mRegistry = registry;
        mSettings = settings;
        mNextWithoutChat = unit(vm);
    }

    /** Decides once for each query, so that all of its servers are of one version. */
    @Override
    @SuppressWarnings("ReferenceEquality") // two requests may ask equal queries
    public boolean admits(BackendServer server, RouteQuery query) {
        if (mQuery != query) {
            mQuery = query;
            mChoice = choose(query);
        }
        return mChoice.admits(server.version());
    }

    private Choice choose(RouteQuery query) {
        return mBoard.deciding(query.service().name())
                .map(word -> choose(word, query))
                .orElse(Choice.ANY);
    }

    private Choice choose(RolloutSummary word, RouteQuery query) {
        double share = mBoard.share(word) / (double) Rollout.WHOLE_PERMILLE;
        boolean wantsNew = position(word, query) < share;
        if (wantsNew) {
            return new Choice(
                    takesWork(word, word.toVersion()) ? word.toVersion() : word.fromVersion());
        }
        boolean standIn =
                word.state().newVersionMayStandIn()
                        && !mBoard.stopped(word.name())
                        && !takesWork(word, word.fromVersion());
        return new Choice(standIn ? word.toVersion() : word.fromVersion());
    }

    private double position(RolloutSummary word, RouteQuery query) {
        return query.chat().map(chat -> position(word, chat)).orElseGet(this::nextWithoutChat);
    }

    /**
     * Returns the chat's place in the order in which chats move to the new version, from 0 to 1.
     */
    static double position(RolloutSummary word, String chat) {
        return unit("cohort/" + word.service() + "/" + word.toVersion() + "/" + chat);
    }

    private static double unit(String text) {
        return (RendezvousHash.hash(text) >>> (Long.SIZE - HASH_BITS)) * HASH_SCALE;
    }

    private double nextWithoutChat() {
        mNextWithoutChat = (mNextWithoutChat + GOLDEN_RATIO_FRACTION) % 1;
        return mNextWithoutChat;
    }

    private boolean takesWork(RolloutSummary word, String version) {
        return mRegistry.servers(word.service()).stream()
                .filter(status -> status.server().version().equals(version))
                .filter(status -> status.state().takesNewWork())
                .anyMatch(status -> inForce(status.server().dataCentre()));
    }

    private boolean inForce(String dataCentre) {
        return mSettings.get().map(settings -> settings.takesWork(dataCentre)).orElse(false);
    }

    /**
     * The version that a query goes to.
     *
     * @param version null for any
     */
    private record Choice(@Nullable String version) {
        static final Choice ANY = new Choice(null);

        boolean admits(String offered) {
            return version == null || version.equals(offered);
        }
    }
}
