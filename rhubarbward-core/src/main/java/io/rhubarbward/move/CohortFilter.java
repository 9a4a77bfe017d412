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
 * Assigns each chat to the old or the new version of its service's active or last rollout.
 *
 * <p>A hash of the chat is compared with the new version's share, so that all routers agree without
 * exchanging messages, and a growing share only moves chats to the new version. Requests without a
 * chat are spread by a low-discrepancy sequence of each router.
 */
public final class CohortFilter implements VersionFilter {
    private static final double GOLDEN_RATIO_FRACTION = 0.6180339887498949;
    private static final int HASH_BITS = 53;
    private static final double HASH_SCALE = 1.0 / (1L << HASH_BITS);

    private final RolloutView mView;
    private final BackendRegistry mRegistry;
    private final Supplier<Optional<Settings>> mSettings;
    private double mSequenceValue;
    private @Nullable RouteQuery mLastQuery;
    private Choice mLastChoice = Choice.ANY;

    /** Creates the filter of the router on the named VM. */
    public CohortFilter(
            RolloutView view,
            BackendRegistry registry,
            Supplier<Optional<Settings>> settings,
            String vm) {
        mView = view;
        mRegistry = registry;
        mSettings = settings;
        mSequenceValue = hashToUnitInterval(vm);
    }

    /** Chooses the version once for each query, so that all of its servers are of one version. */
    @Override
    @SuppressWarnings("ReferenceEquality") // two requests may have equal queries
    public boolean admits(BackendServer server, RouteQuery query) {
        if (mLastQuery != query) {
            mLastQuery = query;
            mLastChoice = choose(query);
        }
        return mLastChoice.admits(server.version());
    }

    private Choice choose(RouteQuery query) {
        return mView.currentFor(query.service().name())
                .map(summary -> choose(summary, query))
                .orElse(Choice.ANY);
    }

    private Choice choose(RolloutSummary summary, RouteQuery query) {
        double share = mView.effectiveSharePermille(summary) / (double) Rollout.FULL_SHARE_PERMILLE;
        boolean inNewCohort = position(summary, query) < share;
        if (inNewCohort) {
            return new Choice(
                    takesWork(summary, summary.toVersion())
                            ? summary.toVersion()
                            : summary.fromVersion());
        }
        boolean fallBackToNew =
                summary.state().mayFallBackToNewVersion()
                        && !mView.isStopped(summary.name())
                        && !takesWork(summary, summary.fromVersion());
        return new Choice(fallBackToNew ? summary.toVersion() : summary.fromVersion());
    }

    private double position(RolloutSummary summary, RouteQuery query) {
        return query.chat().map(chat -> position(summary, chat)).orElseGet(this::nextSequenceValue);
    }

    /** Returns the share, from 0 to 1, above which the chat goes to the new version. */
    static double position(RolloutSummary summary, String chat) {
        return hashToUnitInterval(
                "cohort/" + summary.service() + "/" + summary.toVersion() + "/" + chat);
    }

    private static double hashToUnitInterval(String text) {
        return (RendezvousHash.hash(text) >>> (Long.SIZE - HASH_BITS)) * HASH_SCALE;
    }

    private double nextSequenceValue() {
        mSequenceValue = (mSequenceValue + GOLDEN_RATIO_FRACTION) % 1;
        return mSequenceValue;
    }

    private boolean takesWork(RolloutSummary summary, String version) {
        return mRegistry.servers(summary.service()).stream()
                .filter(status -> status.server().version().equals(version))
                .filter(status -> status.state().takesNewWork())
                .anyMatch(status -> dataCentreTakesWork(status.server().dataCentre()));
    }

    private boolean dataCentreTakesWork(String dataCentre) {
        return mSettings.get().map(settings -> settings.takesWork(dataCentre)).orElse(false);
    }

    /**
     * The version that a query goes to.
     *
     * @param version the version; null if any may serve the query
     */
    private record Choice(@Nullable String version) {
        static final Choice ANY = new Choice(null);

        boolean admits(String offered) {
            return version == null || version.equals(offered);
        }
    }
}
