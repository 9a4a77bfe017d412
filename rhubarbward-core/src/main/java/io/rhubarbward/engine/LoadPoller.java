package io.rhubarbward.engine;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.config.Service;
import io.rhubarbward.config.Settings;
import io.rhubarbward.membership.Membership;
import io.rhubarbward.membership.PeerTransport;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Asks engines for their load, so that in each data centre one router asks each engine.
 *
 * <p>The engine's first owner asks and tells the peers. The second asks when the first's reports
 * stop, and any router asks when both stop, a bounded number of engines a second. Routers that
 * disagree on the owners ask twice or a little late, nothing worse.
 */
public final class LoadPoller {
    private static final Duration PERIOD = Duration.ofSeconds(1);

    /** With more engines than this, those of other data centres are asked less often. */
    private static final int SMALL_SITE_ENGINES = 64;

    private static final int REMOTE_PERIODS = 5;

    /** Periods between two messages to the peers, in a small site and in a larger one. */
    private static final int SMALL_SITE_SHARE_PERIODS = 1;

    private static final int SHARE_PERIODS = 3;

    /** How many periods late a report must be for the second owner, and for any router, to ask. */
    private static final int SECOND_OWNER_LATE_PERIODS = 1;

    private static final int ANY_ROUTER_LATE_PERIODS = 2;

    /** Engines that a router asks in a period for want of their owners' reports. */
    private static final int MAX_UNOWNED_ASKS = 16;

    private final String mOwnVm;
    private final String mDataCentre;
    private final Supplier<Optional<Settings>> mSettings;
    private final BackendRegistry mRegistry;
    private final Membership mMembership;
    private final EngineClient mEngines;
    private final TimerService mTimers;
    private final LoadSharing mSharing;
    private long mPeriod;

    /** Polls the engines that the registry knows on behalf of the router on the VM. */
    public LoadPoller(
            String ownVm,
            String dataCentre,
            Supplier<Optional<Settings>> settings,
            BackendRegistry registry,
            Membership membership,
            PeerTransport peers,
            EngineClient engines,
            TimerService timers) {
        mOwnVm = ownVm;
        mDataCentre = dataCentre;
        mSettings = settings;
        mRegistry = registry;
        mMembership = membership;
        mEngines = engines;
        mTimers = timers;
        mSharing = new LoadSharing(dataCentre, registry, membership, peers, timers);
    }

    /** Starts to poll and to share. */
    public void start() {
        mSharing.start();
        mTimers.every(PERIOD, this::poll);
    }

    private void poll() {
        mPeriod++;
        mSettings.get().ifPresent(this::poll);
    }

    private void poll(Settings settings) {
        List<BackendStatus> engines =
                mRegistry.servers().stream()
                        .filter(status -> engine(settings, status.server()))
                        .toList();
        boolean small = engines.size() <= SMALL_SITE_ENGINES;
        engines.stream()
                .filter(status -> ownedAndDue(status, small))
                .forEach(status -> ask(status.server(), true));
        engines.stream()
                .filter(status -> !owners(status).contains(mOwnVm))
                .filter(status -> late(status, small, ANY_ROUTER_LATE_PERIODS))
                .sorted(Comparator.comparingLong(this::turn))
                .limit(MAX_UNOWNED_ASKS)
                .forEach(status -> ask(status.server(), false));
        if (mPeriod % sharePeriods(small) == 0) {
            mSharing.flush();
        }
    }

    private static boolean engine(Settings settings, BackendServer server) {
        return Optional.ofNullable(settings.services().get(server.service()))
                .filter(service -> service.kind() == Service.Kind.ENGINE)
                .isPresent();
    }

    private boolean ownedAndDue(BackendStatus status, boolean small) {
        boolean turn = Math.floorMod(mPeriod + id(status), periods(status, small)) == 0;
        List<String> owners = owners(status);
        boolean first = owners.indexOf(mOwnVm) == 0;
        boolean second = owners.indexOf(mOwnVm) == 1;
        return turn && (first || (second && late(status, small, SECOND_OWNER_LATE_PERIODS)));
    }

    private int periods(BackendStatus status, boolean small) {
        return small || status.server().dataCentre().equals(mDataCentre) ? 1 : REMOTE_PERIODS;
    }

    private static int sharePeriods(boolean small) {
        return small ? SMALL_SITE_SHARE_PERIODS : SHARE_PERIODS;
    }

    private List<String> owners(BackendStatus status) {
        return mMembership.owners("load/" + status.server().name(), 2);
    }

    private boolean late(BackendStatus status, boolean small, int latePeriods) {
        EngineObservation report = status.report();
        if (report == null) {
            return true;
        }
        long due = Math.max(periods(status, small), sharePeriods(small));
        long age = mTimers.nowMillis() - report.takenAtMillis();
        return age >= (due + latePeriods) * PERIOD.toMillis();
    }

    /** Orders the engines differently in each period, so that all have their turn. */
    private long turn(BackendStatus status) {
        return Math.floorMod(id(status) * mPeriod, Integer.MAX_VALUE);
    }

    private static long id(BackendStatus status) {
        return EngineObservation.shortForm(status.server().name());
    }

    private void ask(BackendServer server, boolean owner) {
        long askedAt = mTimers.nowMillis();
        mEngines.load(server)
                .thenAccept(
                        answer ->
                                answer.peek(report -> take(server.name(), report, askedAt, owner))
                                        .peekLeft(f -> mRegistry.unreachable(server.name())));
    }

    private void take(String server, LoadReport report, long askedAt, boolean owner) {
        mRegistry.observe(server, report, askedAt);
        if (owner) {
            mSharing.reported(server, report.leaving());
        }
    }
}
