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
 * Polls engines for load reports, so that normally one router of each data centre polls an engine.
 *
 * <p>Each engine has two owners, the first two live routers of the data centre in rendezvous order.
 * The first owner polls the engine and shares the report with the peers. The second polls when the
 * first one's reports stop, and every router polls when both stop, but only a bounded number of
 * engines a period. If routers disagree on the owners, an engine is polled twice or a little late.
 */
public final class LoadPoller {
    private static final Duration POLL_PERIOD = Duration.ofSeconds(1);

    /** With more engines, remote ones are polled and all reports are shared less often. */
    private static final int MAX_SMALL_SITE_ENGINES = 64;

    /** Periods between two polls of an engine in another data centre, in a larger site. */
    private static final int REMOTE_POLL_PERIODS = 5;

    /** Periods between two messages to the peers, in a small site and in a larger one. */
    private static final int SMALL_SITE_SHARE_PERIODS = 1;

    private static final int LARGE_SITE_SHARE_PERIODS = 3;

    /** How many periods overdue a report is before the second owner, or any router, polls. */
    private static final int SECOND_OWNER_OVERDUE_PERIODS = 1;

    private static final int ANY_ROUTER_OVERDUE_PERIODS = 2;

    /** Engines of other owners that a router polls in one period because their reports stopped. */
    private static final int MAX_UNOWNED_POLLS_PER_PERIOD = 16;

    private final String mOwnVm;
    private final String mDataCentre;
    private final Supplier<Optional<Settings>> mSettings;
    private final BackendRegistry mRegistry;
    private final Membership mMembership;
    private final EngineClient mEngines;
    private final TimerService mTimers;
    private final LoadReportExchange mReportExchange;
    private long mPeriodNumber;

    /**
     * Creates a poller for the engines that the registry knows.
     *
     * @param ownVm the name of this router's VM
     * @param dataCentre this router's data centre
     * @param settings the settings in force, if there are any
     * @param registry the engines to poll; receives their reports
     * @param membership the live routers, from which an engine's owners follow
     * @param peers carries reports to other routers
     * @param engines fetches reports from engines
     * @param timers the clock and the timers
     */
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
        mReportExchange = new LoadReportExchange(dataCentre, registry, membership, peers, timers);
    }

    /** Starts to poll engines and to exchange reports with peers. */
    public void start() {
        mReportExchange.start();
        mTimers.every(POLL_PERIOD, this::poll);
    }

    private void poll() {
        mPeriodNumber++;
        mSettings.get().ifPresent(this::poll);
    }

    private void poll(Settings settings) {
        List<BackendStatus> engines =
                mRegistry.servers().stream()
                        .filter(status -> isEngine(settings, status.server()))
                        .toList();
        boolean smallSite = engines.size() <= MAX_SMALL_SITE_ENGINES;
        engines.stream()
                .filter(status -> isDueForOwner(status, smallSite))
                .forEach(status -> poll(status.server(), true));
        engines.stream()
                .filter(status -> !owners(status).contains(mOwnVm))
                .filter(status -> isOverdue(status, smallSite, ANY_ROUTER_OVERDUE_PERIODS))
                .sorted(Comparator.comparingLong(this::pollOrder))
                .limit(MAX_UNOWNED_POLLS_PER_PERIOD)
                .forEach(status -> poll(status.server(), false));
        if (mPeriodNumber % sharePeriods(smallSite) == 0) {
            mReportExchange.flush();
        }
    }

    private static boolean isEngine(Settings settings, BackendServer server) {
        return Optional.ofNullable(settings.services().get(server.service()))
                .filter(service -> service.kind() == Service.Kind.ENGINE)
                .isPresent();
    }

    private boolean isDueForOwner(BackendStatus status, boolean smallSite) {
        boolean due =
                Math.floorMod(mPeriodNumber + nameHash(status), pollPeriods(status, smallSite))
                        == 0;
        List<String> owners = owners(status);
        boolean firstOwner = owners.indexOf(mOwnVm) == 0;
        boolean secondOwner = owners.indexOf(mOwnVm) == 1;
        return due
                && (firstOwner
                        || (secondOwner
                                && isOverdue(status, smallSite, SECOND_OWNER_OVERDUE_PERIODS)));
    }

    private int pollPeriods(BackendStatus status, boolean smallSite) {
        return smallSite || status.server().dataCentre().equals(mDataCentre)
                ? 1
                : REMOTE_POLL_PERIODS;
    }

    private static int sharePeriods(boolean smallSite) {
        return smallSite ? SMALL_SITE_SHARE_PERIODS : LARGE_SITE_SHARE_PERIODS;
    }

    private List<String> owners(BackendStatus status) {
        return mMembership.owners("load/" + status.server().name(), 2);
    }

    private boolean isOverdue(BackendStatus status, boolean smallSite, int overduePeriods) {
        EngineObservation report = status.report();
        if (report == null) {
            return true;
        }
        long expectedPeriods = Math.max(pollPeriods(status, smallSite), sharePeriods(smallSite));
        long ageMillis = mTimers.nowMillis() - report.takenAtMillis();
        return ageMillis >= (expectedPeriods + overduePeriods) * POLL_PERIOD.toMillis();
    }

    /** Varies the order of the engines with the period, so that the limit is fair to all. */
    private long pollOrder(BackendStatus status) {
        return Math.floorMod(nameHash(status) * mPeriodNumber, Integer.MAX_VALUE);
    }

    private static long nameHash(BackendStatus status) {
        return EngineObservation.nameHash(status.server().name());
    }

    private void poll(BackendServer server, boolean asOwner) {
        long requestedMillis = mTimers.nowMillis();
        mEngines.load(server)
                .thenAccept(
                        answer ->
                                answer.peek(
                                                report ->
                                                        onReport(
                                                                server.name(),
                                                                report,
                                                                requestedMillis,
                                                                asOwner))
                                        .peekLeft(
                                                failure ->
                                                        mRegistry.loadReportMissed(server.name())));
    }

    private void onReport(String server, LoadReport report, long requestedMillis, boolean asOwner) {
        mRegistry.observe(server, report, requestedMillis);
        if (asOwner) {
            mReportExchange.ownReportReceived(server, report.leaving());
        }
    }
}
