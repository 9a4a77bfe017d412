package io.rhubarbward.placement;

import io.rhubarbward.directory.DirectoryListener;
import io.rhubarbward.directory.ListedServer;
import io.rhubarbward.event.EventField;
import io.rhubarbward.event.EventLog;
import io.rhubarbward.event.LogEvent;
import io.rhubarbward.gossip.LoadNews;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** The servers that may be chosen, each with what is believed of it. */
public final class ServerTable implements DirectoryListener {
    private final TimerService mTimers;
    private final EventLog mEvents;
    private final Map<String, KnownServer> mById = new HashMap<>();
    private final Map<String, List<KnownServer>> mByService = new HashMap<>();
    private final List<Consumer<KnownServer>> mOnLeft = new ArrayList<>();
    private final List<Runnable> mOnSent = new ArrayList<>();

    /** Starts empty. */
    public ServerTable(TimerService timers, EventLog events) {
        mTimers = timers;
        mEvents = events;
    }

    /** Calls the subscriber with each server, or life of a server, that is gone. */
    public void subscribeToLeaving(Consumer<KnownServer> subscriber) {
        mOnLeft.add(subscriber);
    }

    /** Returns the service's servers. */
    public List<KnownServer> servers(String service) {
        return mByService.getOrDefault(service, List.of());
    }

    /** Returns all servers. */
    public List<KnownServer> servers() {
        return List.copyOf(mById.values());
    }

    @Override
    public void onAdded(ListedServer entry) {
        KnownServer server = new KnownServer(entry, mTimers.nowMillis());
        mById.put(entry.id(), server);
        mByService
                .computeIfAbsent(entry.server().service(), service -> new ArrayList<>())
                .add(server);
    }

    @Override
    public void onUpdated(ListedServer entry) {
        Optional.ofNullable(mById.get(entry.id()))
                .ifPresent(server -> server.update(entry, mTimers.nowMillis()));
    }

    @Override
    public void onRemoved(ListedServer entry) {
        KnownServer gone = mById.remove(entry.id());
        if (gone != null) {
            mByService.getOrDefault(entry.server().service(), new ArrayList<>()).remove(gone);
            mOnLeft.forEach(subscriber -> subscriber.accept(gone));
        }
    }

    /** Takes what all other routers together have in flight, by the servers' short forms. */
    public void loadsOfOthers(Map<Integer, Integer> inFlight) {
        long now = mTimers.nowMillis();
        mById.forEach(
                (id, server) ->
                        server.others(inFlight.getOrDefault(LoadNews.serverHash(id), 0), now));
    }

    /** Calls the subscriber whenever a request goes to a server. */
    public void subscribeToSends(Runnable subscriber) {
        mOnSent.add(subscriber);
    }

    /** Notes that a request goes to the server now. */
    public void sent(KnownServer server) {
        server.sent(mTimers.nowMillis());
        mOnSent.forEach(Runnable::run);
    }

    /** Notes how a request ended; a server that may have restarted is cold until it is known. */
    public void ended(KnownServer server, SendResult result, Duration coldStart) {
        long now = mTimers.nowMillis();
        boolean wasCold = server.cold(now);
        server.ended(result, now);
        if (result.mayHaveRestarted() && !coldStart.isZero()) {
            server.suspectCold(now, coldStart);
            if (!wasCold) {
                mEvents.log(
                        LogEvent.ENGINE_COLD_AGAIN,
                        EventField.of("server", server.server().name()),
                        EventField.of("because", result));
            }
        }
    }
}
