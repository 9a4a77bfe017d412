package io.rhubarbward.replay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.rhubarbward.config.ConfigFailure;
import io.rhubarbward.config.ConfigStore;
import io.rhubarbward.config.Settings;
import io.rhubarbward.config.SettingsReader;
import io.rhubarbward.config.SettingsText;
import io.rhubarbward.node.RouterNode;
import io.rhubarbward.request.CallerRequest;
import io.rhubarbward.request.HeaderFields;
import io.rhubarbward.store.memory.MemoryObjectStore;
import io.rhubarbward.store.memory.PlatformFaults;
import io.rhubarbward.timer.VirtualTimerService;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Replays a trace against the real router code on virtual time, and checks every {@link Promise}.
 *
 * <pre>{@code
 * ReplayReport report = Replay.run(trace, 1);
 * System.out.println(report.table());
 * }</pre>
 *
 * <p>The routers are real. Their surroundings are simple stand-ins: backend servers answer after
 * fixed times, links either work or are cut, and the platform is a {@link MemoryObjectStore}. The
 * same trace and seed give the same report.
 */
public final class Replay {
    /** The prefix of every API key in a trace; the name of the key's account follows it. */
    public static final String KEY_PREFIX = "replay-key-";

    private static final Duration START_UP_TIME = Duration.ofSeconds(5);
    private static final Duration OPERATOR_RETRY_DELAY = Duration.ofSeconds(1);
    private static final Duration TIME_AFTER_LAST_EVENT = Duration.ofMinutes(2);
    private static final long MAX_REACTION_MILLIS = 3000;
    private static final String MODEL = "assistant-1";

    private final Trace mTrace;
    private final VirtualTimerService mTimers = new VirtualTimerService();
    private final MemoryObjectStore mStore = new MemoryObjectStore(mTimers);
    private final PromiseChecker mPromises = new PromiseChecker(mTimers::nowMillis);
    private final Measures mMeasures = new Measures();
    private final Settings mSettings;
    private final ReplayBackends mBackends;
    private final ReplayFleet mFleet;
    private final ReplayMonitor mMonitor;
    private final List<ReplayCaller> mCallers = new ArrayList<>();
    private final ReplayRollouts mRollouts;
    private final ObjectNode mOverlay;
    private int mApplyAttempts;

    private Replay(Trace trace, long seed) {
        mTrace = trace;
        mOverlay = trace.header().settings().deepCopy();
        mSettings =
                new SettingsReader()
                        .read(List.of(overlayText()))
                        .getOrElseThrow(f -> new IllegalArgumentException(f.message()));
        mBackends =
                new ReplayBackends(
                        mTimers, mSettings, trace.header().coldBears(), mPromises, mMeasures);
        mFleet =
                new ReplayFleet(
                        trace.header(), mSettings, mTimers, mStore, mBackends, mMeasures, seed);
        mRollouts = new ReplayRollouts(mStore, mTimers, mPromises);
        mMonitor = new ReplayMonitor(mFleet, mBackends, mSettings, mTimers, mPromises, mMeasures);
    }

    /** Replays the trace; the seed feeds the routers' random numbers. */
    public static ReplayReport run(Trace trace, long seed) {
        return new Replay(trace, seed).run();
    }

    private ReplayReport run() {
        mMonitor.start();
        applyOverlay(() -> {});
        new TreeMap<>(mTrace.header().routers()).forEach(mFleet::startRouter);
        mTimers.advance(START_UP_TIME);
        mTrace.events()
                .forEach(
                        event ->
                                mTimers.after(
                                        Duration.ofMillis(event.atMillis()), () -> play(event)));
        mTimers.advance(Duration.ofMillis(lastMillis()).plus(TIME_AFTER_LAST_EVENT));
        mCallers.forEach(
                caller ->
                        mPromises.check(
                                Promise.ANSWERS_WHOLE,
                                caller.ended(),
                                () -> "a caller still waits at the end"));
        Map<String, Object> measures = mMeasures.byName(mStore.reads(), mStore.writes());
        measures.put("rollouts", mRollouts.results());
        return ReplayReport.of(mTrace.header().site(), mPromises, measures);
    }

    private long lastMillis() {
        return mTrace.events().stream().mapToLong(TraceEvent::atMillis).max().orElse(0);
    }

    private void play(TraceEvent event) {
        if (event instanceof TraceEvent.Request request) {
            sendRequest(request);
            return;
        }
        mPromises.recordEvent(event.toString());
        if (event instanceof TraceEvent.EngineRestart restart) {
            mBackends.restart(restart.server());
        } else if (event instanceof TraceEvent.BackendLeaving leaving) {
            mFleet.markLeaving(leaving.server());
            long lagMillis = mTrace.header().vmListLagMillis();
            mBackends.closeToNewWork(
                    leaving.server(),
                    mTimers.nowMillis() + lagMillis + MAX_REACTION_MILLIS,
                    Promise.LEAVING_GETS_NOTHING);
        } else if (event instanceof TraceEvent.BackendJoined joined) {
            mBackends.restart(joined.server());
            mBackends.openToNewWork(joined.server());
            mFleet.markLive(joined.server());
        } else if (event instanceof TraceEvent.Apply change) {
            applyChange(change.change());
        } else if (event instanceof TraceEvent.RolloutStart start) {
            mRollouts.start(start);
        } else if (event instanceof TraceEvent.VersionTurnsBad bad) {
            mBackends.versionFaults().turnsBad(bad.version(), bad.errorPermille());
        } else {
            playInfrastructure(event);
        }
    }

    private void playInfrastructure(TraceEvent event) {
        if (event instanceof TraceEvent.RouterStop stop) {
            mFleet.stopRouter(
                    stop.router(),
                    cut ->
                            mPromises.check(
                                    Promise.STOPS_CUT_NOTHING,
                                    cut == 0,
                                    () -> stop.router() + " cut " + cut));
        } else if (event instanceof TraceEvent.RouterStart start) {
            mFleet.startRouter(start.router(), start.dataCentre());
        } else if (event instanceof TraceEvent.LinkCut cut) {
            mFleet.peerNetwork().cutLink(cut.from(), cut.to());
        } else if (event instanceof TraceEvent.LinkHealed) {
            mFleet.peerNetwork().healAllLinks();
        } else if (event instanceof TraceEvent.PlatformDown) {
            mStore.faults(PlatformFaults.NONE.withDown(true));
        } else if (event instanceof TraceEvent.PlatformUp) {
            mStore.faults(PlatformFaults.NONE);
        } else if (event instanceof TraceEvent.PlatformLosesAnswers loses) {
            mStore.faults(mStore.faults().withLoseAnswers(loses.writes()));
        }
    }

    private void sendRequest(TraceEvent.Request request) {
        mMeasures.countRequest();
        mBackends.register(request);
        Optional<RouterNode> router = mFleet.nextRouter();
        if (router.isEmpty()) {
            mMeasures.countFailure("no router is ready");
            return;
        }
        ReplayCaller caller = new ReplayCaller(request.id(), mBackends, mPromises, mMeasures);
        mCallers.add(caller);
        router.get().serve(callerRequest(request), caller);
    }

    private static CallerRequest callerRequest(TraceEvent.Request request) {
        HeaderFields headers =
                HeaderFields.of("authorization", "Bearer " + KEY_PREFIX + request.account())
                        .with(ReplayBackends.ID_HEADER, request.id());
        if (request.chat() != null) {
            headers = headers.with(ReplayBackends.CHAT_HEADER, request.chat());
        }
        if (request.key() != null) {
            headers = headers.with("idempotency-key", request.key());
        }
        // A repeated request carries the same body; only the id header tells the two apart.
        String body = "{\"model\":\"" + MODEL + "\",\"key\":\"" + request.key() + "\"}";
        return new CallerRequest(
                request.method(),
                request.target(),
                headers,
                ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)));
    }

    private void applyChange(ObjectNode change) {
        TraceGenerator.merge(mOverlay, change);
        applyOverlay(
                () -> change.path("dataCentres").properties().forEach(this::onDataCentreState));
    }

    private void onDataCentreState(Map.Entry<String, JsonNode> entry) {
        setDataCentreIn(entry.getKey(), entry.getValue().path("state").asText().equals("in"));
    }

    private void setDataCentreIn(String name, boolean in) {
        long fromMillis = mTimers.nowMillis() + MAX_REACTION_MILLIS;
        mSettings.backendServers().values().stream()
                .filter(server -> server.dataCentre().equals(name))
                .forEach(
                        server -> {
                            if (in) {
                                mBackends.openToNewWork(server.name());
                            } else {
                                mBackends.closeToNewWork(
                                        server.name(), fromMillis, Promise.OUT_GETS_NOTHING);
                            }
                        });
    }

    /**
     * Applies the overlay as an operator does, and tries again later if the platform refuses it.
     */
    private void applyOverlay(Runnable onAccepted) {
        String nonce = "replay-" + mApplyAttempts++;
        new ConfigStore(mStore)
                .apply(new SettingsText("base", "{}"), Map.of(site(), overlayText()), nonce)
                .thenAccept(applied -> onApplied(applied, onAccepted));
        mTimers.runDue();
    }

    private void onApplied(Either<ConfigFailure, Long> applied, Runnable onAccepted) {
        mPromises.recordEvent("applied " + applied);
        if (applied.isLeft()) {
            mTimers.after(OPERATOR_RETRY_DELAY, () -> applyOverlay(onAccepted));
            return;
        }
        mMonitor.onAccepted(applied.get());
        onAccepted.run();
    }

    private SettingsText overlayText() {
        return new SettingsText("trace", mOverlay.toString());
    }

    private String site() {
        return mTrace.header().site();
    }
}
