package io.rhubarbward.admission;

import io.rhubarbward.catalog.ServiceProfile;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * What admission control knows of one service: its room, the shares of its accounts, and what was
 * freed and refused lately.
 */
final class ServiceAdmission {
    /**
     * Part of the capacity that is occupied from which room is wanted. The capacity is 1.5 times
     * the slots, so that every slot is busy by then.
     */
    private static final double WANTED_FROM = 0.7;

    /** Part of the capacity by which each rank may fill less than the one before it. */
    private static final double PART_PER_RANK = 0.1;

    /** How long a room estimate is used, with this router's own changes added to it. */
    private static final long ROOM_MAX_AGE_MILLIS = 10;

    private static final long FREED_WINDOW_MILLIS = 2000;
    private static final long REFUSED_WINDOW_MILLIS = 1000;
    private static final double MILLIS_PER_SECOND = 1000;

    /** Absorbs what is lost in sums of tenths of a place. */
    private static final double ROUNDING = 1e-6;

    private final RoomEstimate mEstimate;
    private final AccountUsage mUsage;
    private ServiceProfile mProfile;
    private final RecentPlaces<Boolean> mFreed = new RecentPlaces<>(FREED_WINDOW_MILLIS);
    private final RecentPlaces<Long> mRefusedByAccount = new RecentPlaces<>(REFUSED_WINDOW_MILLIS);
    private final RecentPlaces<Integer> mRefusedByRank = new RecentPlaces<>(REFUSED_WINDOW_MILLIS);
    private ServiceRoom mRoom = new ServiceRoom(0, 0, 0);
    private long mRoomMillis = Long.MIN_VALUE / 2;
    private double mOwnChange;
    private @Nullable AccountShares mShares;
    private long mSharesMillis;

    ServiceAdmission(RoomEstimate estimate, AccountUsage usage, ServiceProfile profile) {
        mEstimate = estimate;
        mUsage = usage;
        mProfile = profile;
    }

    ServiceProfile profile() {
        return mProfile;
    }

    void update(ServiceProfile profile) {
        mProfile = profile;
    }

    /** Returns the room, with this router's changes since it was estimated. */
    ServiceRoom room(long nowMillis) {
        if (nowMillis - mRoomMillis >= ROOM_MAX_AGE_MILLIS) {
            mRoom = mEstimate.room(mProfile);
            mRoomMillis = nowMillis;
            mOwnChange = 0;
        }
        return mOwnChange == 0
                ? mRoom
                : new ServiceRoom(
                        mRoom.capacity(),
                        Math.max(0, mRoom.occupied() + mOwnChange),
                        mRoom.ageMillis());
    }

    /** Returns whether requests of these places more would leave the service short of room. */
    static boolean wantsRoom(ServiceRoom room, double places) {
        return room.capacity() > 0 && room.utilisation(places) > WANTED_FROM + ROUNDING;
    }

    /**
     * Returns whether the places that requests of the rank may fill have room for the request. An
     * idle service has room for any request, else one larger than a router's part would never run.
     */
    static boolean fits(ServiceRoom room, int rank, double places) {
        double part = Math.max(WANTED_FROM, 1 - PART_PER_RANK * rank);
        return room.occupied() <= 0 || room.utilisation(places) <= part + ROUNDING;
    }

    /**
     * Returns the shares of the accounts.
     *
     * @param waiting the requests that wait for the service at this router
     */
    AccountShares shares(long nowMillis, Stream<QueuedRequest> waiting) {
        AccountShares shares = mShares;
        if (shares == null || nowMillis - mSharesMillis >= ROOM_MAX_AGE_MILLIS) {
            Map<Long, Double> used = mUsage.placesByKey(mProfile.name());
            Map<Long, Double> wanted = new HashMap<>(used);
            waiting.forEach(
                    request -> wanted.merge(key(request.account()), request.places(), Double::sum));
            mRefusedByAccount
                    .sums(nowMillis)
                    .forEach((key, places) -> wanted.merge(key, places, Double::sum));
            shares = AccountShares.of(room(nowMillis), used, wanted);
            mShares = shares;
            mSharesMillis = nowMillis;
        }
        return shares;
    }

    long key(String account) {
        return AccountUsage.key(mProfile.name(), account);
    }

    /** Forgets the shares, since requests have come to wait, or have stopped waiting. */
    void onWaitingChanged() {
        mShares = null;
    }

    /** Counts a request that is sent to a server. */
    void add(AdmissionRequest request) {
        mUsage.add(mProfile.name(), request.account(), request.places());
        mOwnChange += request.places();
        mShares = null;
    }

    /** Removes a request that was counted and has ended. */
    void remove(AdmissionRequest request, long nowMillis) {
        mUsage.remove(mProfile.name(), request.account(), request.places());
        mOwnChange -= request.places();
        mFreed.add(true, request.places(), nowMillis);
        mShares = null;
    }

    void onRefused(AdmissionRequest request, long nowMillis) {
        mRefusedByAccount.add(key(request.account()), request.places(), nowMillis);
        mRefusedByRank.add(request.rank(), request.places(), nowMillis);
        mShares = null;
    }

    /** Returns the places that became free at this router per second. */
    double freedPerSecond(long nowMillis) {
        return mFreed.sums(nowMillis).getOrDefault(true, 0.0)
                * MILLIS_PER_SECOND
                / FREED_WINDOW_MILLIS;
    }

    /** Returns the places refused lately, of requests that were at least as urgent. */
    double refusedPlaces(int rank, long nowMillis) {
        return mRefusedByRank.sums(nowMillis).entrySet().stream()
                .filter(refused -> refused.getKey() <= rank)
                .mapToDouble(Map.Entry::getValue)
                .sum();
    }

    /** Returns the account's part of the places that this router's open requests take. */
    double ownPart(String account) {
        Map<String, Double> own = mUsage.ownPlaces(mProfile.name());
        double all = own.values().stream().mapToDouble(places -> places).sum();
        return all <= 0 ? 0 : own.getOrDefault(account, 0.0) / all;
    }
}
