package io.rhubarbward.config;

import io.rhubarbward.membership.Heartbeat;
import io.rhubarbward.membership.Membership;
import io.rhubarbward.membership.Peer;
import io.rhubarbward.store.Vm;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/**
 * Tracks when each peer was last heard from and which generation it had in force then, and elects
 * the data centre's relays.
 */
final class PeerGenerationTracker {
    private static final Duration FRESHNESS_LIMIT = Duration.ofSeconds(3);
    private static final String RELAY_KEY = "relay/config";

    private final ConfigIdentity mIdentity;
    private final Membership mMembership;
    private final TimerService mTimers;
    private final RandomGenerator mRandom;
    private final Map<String, Contact> mLastContacts = new TreeMap<>();
    private List<Vm> mListedVms = List.of();
    private long mStartMillis;
    private long mLastContactMillis;

    PeerGenerationTracker(
            ConfigIdentity identity,
            Membership membership,
            TimerService timers,
            RandomGenerator random) {
        mIdentity = identity;
        mMembership = membership;
        mTimers = timers;
        mRandom = random;
    }

    void start() {
        mStartMillis = mTimers.nowMillis();
        mLastContactMillis = mStartMillis;
        mMembership.subscribe(vms -> mListedVms = vms);
    }

    void onHeartbeat(String vm, Heartbeat heartbeat) {
        recordContact(vm, heartbeat.generation());
    }

    /** Records that the peer was heard from now and has the generation in force. */
    void recordContact(String vm, long generation) {
        mLastContactMillis = mTimers.nowMillis();
        mLastContacts.put(vm, new Contact(mLastContactMillis, generation));
    }

    /** Returns when any peer was last heard from; the time of the start before that. */
    long lastContactMillis() {
        return mLastContactMillis;
    }

    /**
     * Returns whether neither a peer was heard from nor this router started within the freshness
     * limit.
     */
    boolean isolated() {
        return mTimers.nowMillis() - mLastContactMillis > FRESHNESS_LIMIT.toMillis();
    }

    /** Returns whether the VM list, the membership or the seeds name another router. */
    boolean knowsOtherRouter() {
        boolean listed =
                mListedVms.stream()
                        .filter(vm -> vm.role() == Vm.Role.ROUTER)
                        .anyMatch(vm -> !vm.name().equals(mIdentity.vm()));
        return listed || !mMembership.peers().isEmpty() || !mIdentity.seeds().isEmpty();
    }

    private boolean isFresh(Contact contact) {
        return mTimers.nowMillis() - contact.atMillis() <= FRESHNESS_LIMIT.toMillis();
    }

    /**
     * Returns the peers that have a higher generation: those of the own data centre first, then in
     * descending order of their generations, and otherwise at random.
     */
    List<Peer> peersAhead(long generation) {
        List<Peer> peersAhead =
                new ArrayList<>(
                        mMembership.peers().stream()
                                .filter(peer -> freshGeneration(peer.vm()) > generation)
                                .toList());
        Collections.shuffle(peersAhead, newRandom());
        peersAhead.sort(
                Comparator.comparing((Peer peer) -> !inSameDataCentre(peer))
                        .thenComparing(
                                Comparator.comparingLong((Peer peer) -> freshGeneration(peer.vm()))
                                        .reversed()));
        return peersAhead;
    }

    /** Returns random peers of the own data centre that have a lower or an unknown generation. */
    List<Peer> peersBehind(long generation, int limit) {
        List<Peer> peersBehind =
                new ArrayList<>(
                        peersInDataCentre()
                                .filter(peer -> freshGeneration(peer.vm()) < generation)
                                .toList());
        Collections.shuffle(peersBehind, newRandom());
        return peersBehind.stream().limit(limit).toList();
    }

    private Random newRandom() {
        return new Random(mRandom.nextLong());
    }

    private long freshGeneration(String vm) {
        Contact contact = mLastContacts.get(vm);
        return contact != null && isFresh(contact) ? contact.generation() : 0;
    }

    private Stream<Peer> peersInDataCentre() {
        return mMembership.peers().stream().filter(this::inSameDataCentre);
    }

    private boolean inSameDataCentre(Peer peer) {
        return peer.dataCentre().equals(mIdentity.dataCentre());
    }

    /**
     * Returns the peer with the name; if the membership lacks it, one at the {@code replyTo}
     * address.
     */
    Peer peer(String vm, String replyTo) {
        return mMembership.peers().stream()
                .filter(peer -> peer.vm().equals(vm))
                .findFirst()
                .orElseGet(() -> new Peer(vm, mIdentity.dataCentre(), replyTo));
    }

    /**
     * Returns a random router to ask for a newer configuration: a seed or a peer. If there are
     * peers in the own data centre, peers of other data centres are left out.
     */
    Optional<Peer> randomRouter() {
        List<Peer> inDataCentre = peersInDataCentre().toList();
        Stream<Peer> listed =
                inDataCentre.isEmpty() ? mMembership.peers().stream() : inDataCentre.stream();
        List<Peer> candidates =
                Stream.concat(listed, mIdentity.seeds().stream().map(this::seedPeer)).toList();
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(mRandom.nextInt(candidates.size())));
    }

    private Peer seedPeer(String address) {
        return new Peer(address, mIdentity.dataCentre(), address);
    }

    /**
     * Returns the data centre's relays: the first routers in rendezvous order for the relay key
     * that were heard from recently. This router counts itself as heard from.
     *
     * <p>Within the freshness limit after the start, all routers count as heard from, so that a
     * router that starts does not become a relay in place of a running one.
     */
    List<String> relays(int maxRelays) {
        boolean startupOver = mTimers.nowMillis() - mStartMillis > FRESHNESS_LIMIT.toMillis();
        return mMembership.owners(RELAY_KEY, Integer.MAX_VALUE).stream()
                .filter(vm -> vm.equals(mIdentity.vm()) || !startupOver || wasHeardRecently(vm))
                .limit(maxRelays)
                .toList();
    }

    private boolean wasHeardRecently(String vm) {
        Contact contact = mLastContacts.get(vm);
        return contact != null && isFresh(contact);
    }

    /**
     * Returns the last known generation of each router of the own data centre; 0 if it is unknown.
     * Routers that are on the VM list but silent are included, since they may still serve requests.
     *
     * @param own the generation in force at this router
     */
    Map<String, Long> generations(long own) {
        Map<String, Long> generations = new TreeMap<>();
        Stream<String> listed =
                mListedVms.stream()
                        .filter(vm -> vm.role() == Vm.Role.ROUTER)
                        .filter(vm -> vm.state() == Vm.State.LIVE)
                        .filter(vm -> vm.dataCentre().equals(mIdentity.dataCentre()))
                        .map(Vm::name);
        Stream.concat(listed, peersInDataCentre().map(Peer::vm))
                .forEach(vm -> generations.put(vm, lastGeneration(vm)));
        generations.put(mIdentity.vm(), own);
        return generations;
    }

    private long lastGeneration(String vm) {
        return Optional.ofNullable(mLastContacts.get(vm)).map(Contact::generation).orElse(0L);
    }

    /**
     * The last message from a peer that contained its generation.
     *
     * @param atMillis when the message arrived
     * @param generation the generation in force at the peer
     */
    private record Contact(long atMillis, long generation) {}
}
