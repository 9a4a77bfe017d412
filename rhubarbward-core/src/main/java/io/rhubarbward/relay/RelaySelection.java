package io.rhubarbward.relay;

import io.rhubarbward.directory.RouterPresence;
import io.rhubarbward.hash.RendezvousHash;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.timer.TimerService;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Selects the router of this data centre that this router uses as its relay.
 *
 * <p>All routers of a data centre prefer the same ones: first those with the most processor
 * capacity, then by rendezvous order. A preferred router that does not answer, or does not reach
 * the store, is passed over and tried again from time to time.
 */
final class RelaySelection {
    /** Age of an answer up to which its sender needs no substitute. */
    private static final long RECENT_ANSWER_MILLIS = 900;

    /** How long an unanswered candidate is asked alone. */
    private static final long SOLE_CANDIDATE_MILLIS = 400;

    /** How long a candidate is asked in vain before it is only tried from time to time. */
    private static final long SUSPECT_AFTER_MILLIS = 2000;

    private static final long SUSPECT_RETRY_MILLIS = 8000;

    /** Age of an answer up to which its sender is taken to run. */
    private static final long ALIVE_MILLIS = 1300;

    /** How many candidates that answer, but do not reach the store, are asked at the same time. */
    private static final int MAX_WITHOUT_STORE = 3;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final String mSelf;
    private final String mDataCentre;
    private final Supplier<Map<String, RouterPresence>> mRouters;
    private final TimerService mTimers;
    private final Map<String, Candidate> mCandidates = new HashMap<>();

    RelaySelection(
            String self,
            String dataCentre,
            Supplier<Map<String, RouterPresence>> routers,
            TimerService timers) {
        mSelf = self;
        mDataCentre = dataCentre;
        mRouters = routers;
        mTimers = timers;
    }

    /** What this router knows of a candidate. */
    private static final class Candidate {
        private long mAnsweredMillis = NEVER;
        private long mServedMillis = NEVER;
        private long mAskedMillis = NEVER;

        /** Time of the first request since the last answer that served. */
        private long mAskedInVainMillis = NEVER;
    }

    /**
     * Whom to ask now.
     *
     * @param peers the candidates to ask
     * @param self whether this router is the first choice itself
     */
    record Choice(List<Peer> peers, boolean self) {}

    /**
     * Returns whom to ask now, and records that they are asked.
     *
     * @param selfReachesStore whether this router may be the first choice itself
     */
    Choice choose(boolean selfReachesStore) {
        long now = mTimers.nowMillis();
        List<Peer> asked = new ArrayList<>();
        int withoutStore = 0;
        for (Peer peer : inOrderOfPreference(mRouters.get(), mDataCentre)) {
            if (peer.vm().equals(mSelf)) {
                if (selfReachesStore) {
                    return new Choice(asked, true);
                }
                continue;
            }
            Candidate candidate = candidate(peer.vm());
            if (now - candidate.mServedMillis <= RECENT_ANSWER_MILLIS) {
                asked.add(ask(peer, candidate, now));
                return new Choice(asked, false);
            }
            if (suspect(candidate)) {
                if (now - candidate.mAskedMillis >= SUSPECT_RETRY_MILLIS) {
                    asked.add(ask(peer, candidate, now));
                }
                if (now - candidate.mAnsweredMillis < SUSPECT_RETRY_MILLIS
                        && ++withoutStore >= MAX_WITHOUT_STORE) {
                    break;
                }
                continue;
            }
            asked.add(ask(peer, candidate, now));
            if (now - candidate.mAskedInVainMillis < SOLE_CANDIDATE_MILLIS) {
                break;
            }
        }
        return new Choice(asked, false);
    }

    private static Peer ask(Peer peer, Candidate candidate, long now) {
        boolean afterPause = now - candidate.mAskedMillis > SUSPECT_AFTER_MILLIS;
        if (candidate.mAskedInVainMillis == NEVER || (afterPause && !suspect(candidate))) {
            candidate.mAskedInVainMillis = now;
        }
        candidate.mAskedMillis = now;
        return peer;
    }

    private static boolean suspect(Candidate candidate) {
        return candidate.mAskedInVainMillis != NEVER
                && candidate.mAskedMillis - candidate.mAskedInVainMillis > SUSPECT_AFTER_MILLIS;
    }

    /** Records an answer to a request. */
    void answered(String vm, boolean serving) {
        Candidate candidate = candidate(vm);
        candidate.mAnsweredMillis = mTimers.nowMillis();
        if (serving) {
            candidate.mServedMillis = mTimers.nowMillis();
            candidate.mAskedInVainMillis = NEVER;
        }
    }

    /** Returns for how long requests to the router have been in vain; 0 if they are answered. */
    long unansweredMillis(String vm) {
        Candidate candidate = candidate(vm);
        return candidate.mAskedInVainMillis == NEVER
                ? 0
                : mTimers.nowMillis()
                        - Math.max(candidate.mAskedInVainMillis, candidate.mAnsweredMillis);
    }

    /**
     * Returns the first router in order of preference that answers, whether or not it reaches the
     * store; empty if that is this router.
     */
    Optional<Peer> firstAlive() {
        long now = mTimers.nowMillis();
        return inOrderOfPreference(mRouters.get(), mDataCentre).stream()
                .filter(
                        peer ->
                                peer.vm().equals(mSelf)
                                        || now - candidate(peer.vm()).mAnsweredMillis
                                                <= ALIVE_MILLIS)
                .findFirst()
                .filter(peer -> !peer.vm().equals(mSelf));
    }

    private Candidate candidate(String vm) {
        return mCandidates.computeIfAbsent(vm, name -> new Candidate());
    }

    /** Returns the routers of the data centre, the preferred relay first. */
    static List<Peer> inOrderOfPreference(Map<String, RouterPresence> routers, String dataCentre) {
        List<Map.Entry<String, RouterPresence>> reachable =
                routers.entrySet().stream()
                        .filter(entry -> entry.getValue().dataCentre().equals(dataCentre))
                        .filter(entry -> !entry.getValue().address().isEmpty())
                        .toList();
        return RendezvousHash.order("relay/" + dataCentre, reachable, Map.Entry::getKey).stream()
                .sorted(Comparator.comparingDouble(entry -> -entry.getValue().processorCapacity()))
                .map(entry -> new Peer(entry.getKey(), dataCentre, entry.getValue().address()))
                .toList();
    }
}
