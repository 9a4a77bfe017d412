package io.rhubarbward.admission;

import io.rhubarbward.catalog.ServiceProfile;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.hash.RendezvousHash;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Admission control of the requests to engines whose capacity is stated: decides which are placed,
 * which wait a moment and which are refused while the fleet wants room.
 *
 * <pre>{@code
 * AdmissionTicket ticket = admission.ticket(request, listener);
 * switch (ticket.decide()) ...
 * ticket.onSent();
 * ticket.end();
 * }</pre>
 *
 * <p>Each router decides for itself, by {@link RoomEstimate} and {@link AccountUsage}. All calls
 * are made on the timer service's thread.
 */
public final class FleetAdmission {
    /** The most requests that wait at one router. */
    private static final int MAX_WAITING = 512;

    /** How often the room of services in use is looked at for logs and metrics. */
    private static final Duration OBSERVE_PERIOD = Duration.ofMillis(100);

    /** Shortest time between two log lines about the room of one service. */
    private static final long ROOM_LOG_INTERVAL_MILLIS = 1000;

    /** Shortest time to return: routers know of free places by then. */
    private static final double MIN_RETRY_AFTER_MILLIS = 400;

    /** Longest time to return as a part of the caller's time left, so that it can come twice. */
    private static final double MAX_RETRY_AFTER_PART = 1.0 / 3;

    /** Lowest factor of the time to return; the highest is as far above 1. */
    private static final double MIN_SPREAD = 0.75;

    private static final double SPREAD_WIDTH = 0.5;
    private static final double MILLIS_PER_SECOND = 1000;

    private final RoomEstimate mRoom;
    private final AccountUsage mUsage;
    private final TimerService mTimers;
    private final EventLog mEvents;
    private final AdmissionMetrics mMetrics;
    private final AdmissionQueue mQueue;
    private final Map<String, ServiceAdmission> mServices = new HashMap<>();
    private final Map<String, ResponseTimes> mTimesByRoute = new HashMap<>();
    private final Map<String, RoomLog> mRoomLogs = new HashMap<>();
    private boolean mStopping;

    /** Creates an admission control that admits by the given figures. */
    public FleetAdmission(
            RoomEstimate room,
            AccountUsage usage,
            TimerService timers,
            EventLog events,
            AdmissionMetrics metrics) {
        mRoom = room;
        mUsage = usage;
        mTimers = timers;
        mEvents = events;
        mMetrics = metrics;
        mQueue = AdmissionQueue.boundedInTotal(timers, MAX_WAITING);
    }

    /** Starts to give turns periodically, in addition to one for each request that ends. */
    public void start() {
        mQueue.start();
        mTimers.every(OBSERVE_PERIOD, () -> mServices.values().forEach(this::observe));
    }

    /** Returns whether admission control is in force for the service. */
    public static boolean covers(ServiceProfile service) {
        return service.engine() && service.engineCapacity().isPresent();
    }

    /** Returns the ticket with which a request of a service that is covered passes admission. */
    public AdmissionTicket ticket(AdmissionRequest request, AdmissionTicket.Listener listener) {
        return new AdmissionTicket(this, request, listener);
    }

    /** Lets no request wait from now on, since this router stops. */
    public void beginStop() {
        mStopping = true;
    }

    TimerService timers() {
        return mTimers;
    }

    AdmissionQueue queue() {
        return mQueue;
    }

    AdmissionMetrics metrics() {
        return mMetrics;
    }

    ServiceAdmission service(AdmissionRequest request) {
        ServiceAdmission service =
                mServices.computeIfAbsent(
                        request.service().name(),
                        name -> new ServiceAdmission(mRoom, mUsage, request.service()));
        service.update(request.service());
        return service;
    }

    ResponseTimes times(AdmissionRequest request) {
        return mTimesByRoute.computeIfAbsent(request.route(), name -> new ResponseTimes());
    }

    AccountShares shares(AdmissionRequest request) {
        return service(request)
                .shares(mTimers.nowMillis(), mQueue.waiting(request.service().name()));
    }

    /**
     * Decides on a request that has not been sent yet.
     *
     * <p>Waiting requests go before later ones also while there is room again, so that requests
     * that take few places do not use up what one that takes many waits for. While there is room,
     * no request is refused.
     */
    AdmissionDecision decide(AdmissionRequest request, AdmissionQueue.Entry entry) {
        ServiceRoom room = service(request).room(mTimers.nowMillis());
        boolean wantsRoom = ServiceAdmission.wantsRoom(room, request.places());
        if (!wantsRoom) {
            return isBehind(request, entry)
                            && mayWait(request, entry, AdmissionDecision.Cause.OTHERS_WAIT)
                    ? waits(request, AdmissionDecision.Cause.OTHERS_WAIT)
                    : new AdmissionDecision.Admitted();
        }
        if (exceedsShare(request)) {
            return putOff(request, entry, AdmissionDecision.Cause.ACCOUNT_OVER_SHARE);
        }
        if (!ServiceAdmission.fits(room, request.rank(), request.places())) {
            return putOff(request, entry, AdmissionDecision.Cause.RANK_FULL);
        }
        return isBehind(request, entry)
                ? putOff(request, entry, AdmissionDecision.Cause.OTHERS_WAIT)
                : new AdmissionDecision.Admitted();
    }

    private boolean isBehind(AdmissionRequest request, AdmissionQueue.Entry entry) {
        return entry.isBehind(waiting -> goesBefore(waiting, request));
    }

    private boolean exceedsShare(AdmissionRequest request) {
        return shares(request).exceeded(service(request).key(request.account()), request.places());
    }

    /** Returns whether the waiting request holds back one that is behind it in queue order. */
    private boolean goesBefore(QueuedRequest waiting, AdmissionRequest request) {
        return waiting.account().equals(request.account())
                || !ServiceAdmission.wantsRoom(
                        service(request).room(mTimers.nowMillis()), waiting.places())
                || !shares(request)
                        .exceeded(service(request).key(waiting.account()), waiting.places());
    }

    /** Returns whether a waiting request can use a turn. */
    AdmissionQueue.Readiness readiness(AdmissionRequest request) {
        ServiceRoom room = service(request).room(mTimers.nowMillis());
        if (!ServiceAdmission.wantsRoom(room, request.places())) {
            return AdmissionQueue.Readiness.READY;
        }
        if (exceedsShare(request)) {
            return AdmissionQueue.Readiness.PASSED_OVER;
        }
        return ServiceAdmission.fits(room, request.rank(), request.places())
                ? AdmissionQueue.Readiness.READY
                : AdmissionQueue.Readiness.NO_ROOM;
    }

    /** Lets a request wait that cannot be placed now, or refuses it if that would be in vain. */
    AdmissionDecision putOff(
            AdmissionRequest request, AdmissionQueue.Entry entry, AdmissionDecision.Cause cause) {
        return mayWait(request, entry, cause) ? waits(request, cause) : refuse(request, cause);
    }

    private boolean mayWait(
            AdmissionRequest request, AdmissionQueue.Entry entry, AdmissionDecision.Cause cause) {
        long maxWaitMillis = maxWaitMillis(request);
        return !mStopping
                && maxWaitMillis > 0
                && hasTurnWithin(request, entry, maxWaitMillis, cause);
    }

    private AdmissionDecision waits(AdmissionRequest request, AdmissionDecision.Cause cause) {
        long maxWaitMillis = maxWaitMillis(request);
        mMetrics.countDecision(request.service().name(), request.rank(), "waits");
        log(LogEvent.REQUEST_WAITS, request, cause, EventField.of("waitMs", maxWaitMillis));
        return new AdmissionDecision.Waits(cause, maxWaitMillis);
    }

    /**
     * Returns how long the request may wait: until its response could not begin within the target
     * latency, or not be whole in the caller's time.
     */
    private long maxWaitMillis(AdmissionRequest request) {
        long now = mTimers.nowMillis();
        ResponseTimes times = times(request);
        double untilTarget =
                request.arrivedMillis() + request.targetLatencyMillis() - times.beginMillis() - now;
        double untilDeadline = request.deadlineMillis() - times.wholeMillis() - now;
        return (long) Math.min(untilTarget, untilDeadline);
    }

    /**
     * Returns whether the places that wait before the request will be free in time, by the rate at
     * which places became free lately. For an account over its share, only its own places count.
     */
    private boolean hasTurnWithin(
            AdmissionRequest request,
            AdmissionQueue.Entry entry,
            long waitMillis,
            AdmissionDecision.Cause cause) {
        boolean ownOnly = cause == AdmissionDecision.Cause.ACCOUNT_OVER_SHARE;
        double placesAhead = placesAhead(request, entry, ownOnly);
        if (placesAhead == 0) {
            return true;
        }
        ServiceAdmission service = service(request);
        double freedPerSecond =
                service.freedPerSecond(mTimers.nowMillis())
                        * (ownOnly ? service.ownPart(request.account()) : 1);
        return placesAhead <= freedPerSecond * waitMillis / MILLIS_PER_SECOND;
    }

    /**
     * Returns the places of the waiting requests that have their turn first. Accounts take turns,
     * so that of each other account of the rank only as many requests count as of this one.
     */
    private double placesAhead(
            AdmissionRequest request, AdmissionQueue.Entry entry, boolean ownOnly) {
        List<QueuedRequest> ahead = entry.requestsAhead();
        long ownRequests =
                ahead.stream()
                        .filter(other -> other.rank() == request.rank())
                        .filter(other -> other.account().equals(request.account()))
                        .count();
        Map<String, Integer> countByAccount = new HashMap<>();
        double places = 0;
        for (QueuedRequest other : ahead) {
            boolean own = other.account().equals(request.account());
            boolean takesTurns = !own && other.rank() == request.rank();
            boolean counts =
                    (own || !ownOnly)
                            && goesBefore(other, request)
                            && (!takesTurns
                                    || countByAccount.merge(other.account(), 1, Integer::sum)
                                            <= ownRequests + 1);
            places += counts ? other.places() : 0;
        }
        return places;
    }

    /** Refuses a request that has not been sent. */
    AdmissionDecision.Refused refuse(AdmissionRequest request, AdmissionDecision.Cause cause) {
        service(request).onRefused(request, mTimers.nowMillis());
        long retryAfterMillis = retryAfterMillis(request);
        mMetrics.countDecision(request.service().name(), request.rank(), "refused");
        log(
                LogEvent.REQUEST_PUT_OFF,
                request,
                cause,
                EventField.of("retryAfterMs", retryAfterMillis));
        return new AdmissionDecision.Refused(cause, retryAfterMillis);
    }

    /**
     * Returns when a retry may succeed: once the places that requests at least as urgent want here
     * have become free. Callers that are refused at one instant get different times.
     */
    private long retryAfterMillis(AdmissionRequest request) {
        long now = mTimers.nowMillis();
        ServiceAdmission service = service(request);
        double waitingPlaces =
                mQueue.waiting(request.service().name())
                        .filter(waiting -> waiting.rank() <= request.rank())
                        .mapToDouble(QueuedRequest::places)
                        .sum();
        double backlog = waitingPlaces + service.refusedPlaces(request.rank(), now);
        double freedPerSecond = service.freedPerSecond(now);
        double millis =
                freedPerSecond > 0
                        ? backlog / freedPerSecond * MILLIS_PER_SECOND
                        : Double.POSITIVE_INFINITY;
        double longest =
                (request.deadlineMillis() - now)
                        * MAX_RETRY_AFTER_PART
                        / (MIN_SPREAD + SPREAD_WIDTH);
        double spread = MIN_SPREAD + SPREAD_WIDTH * RendezvousHash.unitHash(request.id());
        return (long) (Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(longest, millis)) * spread);
    }

    private void log(
            LogEvent event,
            AdmissionRequest request,
            AdmissionDecision.Cause cause,
            EventField outcome) {
        ServiceAdmission service = service(request);
        ServiceRoom room = service.room(mTimers.nowMillis());
        AccountShares shares = shares(request);
        mEvents.log(
                event,
                EventField.of("id", request.id()),
                EventField.of("route", request.route()),
                EventField.of("account", request.account()),
                EventField.of("rank", request.rank()),
                EventField.of("cost", rounded(request.places())),
                EventField.of("capacity", rounded(room.capacity())),
                EventField.of("occupied", rounded(room.occupied())),
                EventField.of("ageMs", room.ageMillis()),
                EventField.of(
                        "accountPlaces", rounded(shares.used(service.key(request.account())))),
                EventField.of("accountShare", rounded(Math.min(shares.level(), room.capacity()))),
                EventField.of("cause", cause.label()),
                outcome);
    }

    /** Returns the places with one decimal, as routers exchange them. */
    private static double rounded(double places) {
        return Math.round(places * 10) / 10.0;
    }

    private void observe(ServiceAdmission service) {
        ServiceRoom room = service.room(mTimers.nowMillis());
        mMetrics.setRoom(service.profile().name(), room);
        logRoom(service.profile().name(), ServiceAdmission.wantsRoom(room, 1));
    }

    private void logRoom(String service, boolean wanted) {
        mRoomLogs.computeIfAbsent(service, name -> new RoomLog()).update(service, wanted);
    }

    /** Logs when one service comes to want room and when it regains it. */
    private final class RoomLog {
        private boolean mLoggedWanted;
        private long mLoggedMillis = Long.MIN_VALUE / 2;

        void update(String service, boolean wanted) {
            long now = mTimers.nowMillis();
            if (wanted != mLoggedWanted && now - mLoggedMillis >= ROOM_LOG_INTERVAL_MILLIS) {
                mLoggedWanted = wanted;
                mLoggedMillis = now;
                mEvents.log(
                        wanted ? LogEvent.ROOM_WANTED : LogEvent.ROOM_REGAINED,
                        EventField.of("service", service));
            }
        }
    }
}
