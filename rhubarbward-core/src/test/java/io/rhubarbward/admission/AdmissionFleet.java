package io.rhubarbward.admission;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.rhubarbward.catalog.EngineCapacity;
import io.rhubarbward.catalog.ServiceProfile;
import io.rhubarbward.testing.RecordingEvents;
import io.rhubarbward.timer.VirtualTimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;

/**
 * Routers before one engine service on virtual time. Engines slow down once their slots are busy;
 * routers hear of each other's places every 200 ms, or never. Each caller returns once.
 */
final class AdmissionFleet {
    static final ServiceProfile SERVICE =
            new ServiceProfile(
                    "grade",
                    100,
                    Duration.ZERO,
                    0,
                    true,
                    Optional.of(new EngineCapacity(64, 567_890)));

    private static final double LOAD_PER_SLOT = 1.5;
    private static final Duration NEWS_PERIOD = Duration.ofMillis(200);

    final VirtualTimerService mTimers = new VirtualTimerService();
    final RecordingEvents mEvents = new RecordingEvents();
    final List<Router> mRouters = new ArrayList<>();
    final Map<String, Tally> mByRoute = new HashMap<>();
    final Map<String, Tally> mByAccount = new HashMap<>();
    final SplittableRandom mRandom;
    private final double mSlots;
    private final boolean mNews;
    private final Map<String, Double> mPlacesByAccount = new HashMap<>();
    private double mOccupied;
    private double mMaxOccupied;
    private int mNextId;

    AdmissionFleet(int routers, int engines, boolean news, long seed) {
        mSlots = engines * 64.0;
        mNews = news;
        mRandom = new SplittableRandom(seed);
        for (int i = 0; i < routers; i++) {
            mRouters.add(new Router());
        }
        if (news) {
            mTimers.every(NEWS_PERIOD, () -> mRouters.forEach(Router::hearOfOthers));
        }
    }

    Tally route(String name) {
        return mByRoute.getOrDefault(name, new Tally());
    }

    Tally account(String name) {
        return mByAccount.getOrDefault(name, new Tally());
    }

    double capacity() {
        return mSlots * LOAD_PER_SLOT;
    }

    double maxOccupied() {
        return mMaxOccupied;
    }

    /**
     * Lets requests arrive at random times until the simulated time has passed.
     *
     * @param router returns the index of the router that a request reaches
     */
    void arrive(
            Kind kind,
            String account,
            double perSecond,
            long fromMillis,
            long toMillis,
            IntSupplier router) {
        double millis = fromMillis;
        while (true) {
            millis += -Math.log(1 - mRandom.nextDouble()) * 1000 / perSecond;
            if (millis >= toMillis) {
                return;
            }
            long at = (long) millis;
            mTimers.after(
                    Duration.ofMillis(at - mTimers.nowMillis()),
                    () -> new Call(kind, account, mRouters.get(router.getAsInt())).start());
        }
    }

    int anyRouter() {
        return mRandom.nextInt(mRouters.size());
    }

    void run(long millis) {
        mTimers.advance(Duration.ofMillis(millis));
    }

    /** A kind of request. */
    record Kind(
            String route,
            int rank,
            long tokens,
            long workMillis,
            long targetMillis,
            long timeoutMillis,
            boolean returnsAtOnce) {
        Kind(String route, int rank, long tokens, long workMillis, long target, long timeout) {
            this(route, rank, tokens, workMillis, target, timeout, false);
        }
    }

    /** What became of the requests. */
    static final class Tally {
        int mAsked;
        int mServed;

        /** Requests that were refused for good, also if the account had an even share or more. */
        int mRefused;

        /** Those of them with which the account would have kept within an even share. */
        int mRefusedWithinShare;

        double share() {
            return mAsked == 0 ? 1 : (double) mServed / mAsked;
        }
    }

    /** A router with its own view of the room. */
    final class Router {
        final AccountUsage mUsage = new AccountUsage(mTimers);
        final FleetAdmission mAdmission =
                new FleetAdmission(
                        service -> room(),
                        mUsage,
                        mTimers,
                        mEvents,
                        new AdmissionMetrics(new PrometheusRegistry()));
        private double mOwn;
        private double mOthers;

        Router() {
            mAdmission.start();
        }

        private ServiceRoom room() {
            return mNews
                    ? new ServiceRoom(capacity(), mOwn + mOthers, 200)
                    : new ServiceRoom(capacity() / mRouters.size(), mOwn, Long.MAX_VALUE);
        }

        private void hearOfOthers() {
            mOthers = mOccupied - mOwn;
            Map<Long, Integer> counts = new HashMap<>();
            mRouters.stream()
                    .filter(router -> router != this)
                    .forEach(
                            router ->
                                    router.mUsage
                                            .reported(service -> true)
                                            .forEach(
                                                    (key, count) ->
                                                            counts.merge(
                                                                    key, count, Integer::sum)));
            mUsage.updateFromOthers(AccountUsage.largest(counts, 256));
        }
    }

    /** One caller's request with its retry. */
    private final class Call implements AdmissionTicket.Listener {
        private final Kind mKind;
        private final String mAccount;
        private final Router mRouter;
        private final long mDeadlineMillis;
        private final double mPlaces;
        private boolean mReturned;
        private AdmissionTicket mTicket;

        Call(Kind kind, String account, Router router) {
            mKind = kind;
            mAccount = account;
            mRouter = router;
            mDeadlineMillis = mTimers.nowMillis() + kind.timeoutMillis();
            mPlaces = RequestCost.places(SERVICE, kind.tokens());
            mTicket = ticket();
        }

        private AdmissionTicket ticket() {
            return mRouter.mAdmission.ticket(
                    new AdmissionRequest(
                            "r-" + mNextId++,
                            mKind.route(),
                            SERVICE,
                            mAccount,
                            mKind.rank(),
                            mPlaces,
                            mTimers.nowMillis(),
                            mDeadlineMillis,
                            mKind.timeoutMillis(),
                            mKind.targetMillis()),
                    this);
        }

        void start() {
            tallies().forEach(tally -> tally.mAsked++);
            decide();
        }

        private List<Tally> tallies() {
            return List.of(
                    mByRoute.computeIfAbsent(mKind.route(), name -> new Tally()),
                    mByAccount.computeIfAbsent(mAccount, name -> new Tally()));
        }

        private void decide() {
            AdmissionDecision decision = mTicket.decide();
            if (decision instanceof AdmissionDecision.Admitted) {
                onAdmitted();
            } else if (decision instanceof AdmissionDecision.Refused refused) {
                onRefused(refused);
            }
        }

        @Override
        public void onAdmitted() {
            mTicket.onSent();
            mRouter.mOwn += mPlaces;
            mOccupied += mPlaces;
            mPlacesByAccount.merge(mAccount, mPlaces, Double::sum);
            mMaxOccupied = Math.max(mMaxOccupied, mOccupied);
            long workMillis = (long) (mKind.workMillis() * Math.max(1, mOccupied / mSlots));
            mTimers.after(Duration.ofMillis(workMillis / 4), mTicket::onResponseBegun);
            mTimers.after(Duration.ofMillis(workMillis), this::onDone);
        }

        private void onDone() {
            mTicket.onResponseWhole();
            mRouter.mOwn -= mPlaces;
            mOccupied -= mPlaces;
            mPlacesByAccount.merge(mAccount, -mPlaces, Double::sum);
            mTicket.end();
            if (mTimers.nowMillis() <= mDeadlineMillis) {
                tallies().forEach(tally -> tally.mServed++);
            }
        }

        @Override
        public void onRefused(AdmissionDecision.Refused refused) {
            mTicket.end();
            if (mReturned) {
                double evenShare = capacity() / mByAccount.size();
                boolean within =
                        mPlacesByAccount.getOrDefault(mAccount, 0.0) + mPlaces <= evenShare;
                tallies()
                        .forEach(
                                tally -> {
                                    tally.mRefused++;
                                    tally.mRefusedWithinShare += within ? 1 : 0;
                                });
            } else {
                mReturned = true;
                long millis = mKind.returnsAtOnce() ? 1 : refused.retryAfterMillis();
                mTimers.after(
                        Duration.ofMillis(millis),
                        () -> {
                            mTicket = ticket();
                            decide();
                        });
            }
        }
    }
}
