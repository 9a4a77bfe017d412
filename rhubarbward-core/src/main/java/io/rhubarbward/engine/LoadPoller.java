package io.rhubarbward.engine;

import io.rhubarbward.config.BackendServer;
import io.rhubarbward.config.Service;
import io.rhubarbward.config.Settings;
import io.rhubarbward.timer.TimerService;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

/** Asks the engines for their load at a fixed period. */
public final class LoadPoller {
    private static final Duration PERIOD = Duration.ofSeconds(1);

    private final Supplier<Optional<Settings>> mSettings;
    private final BackendRegistry mRegistry;
    private final EngineClient mEngines;
    private final TimerService mTimers;

    /** Polls the engines that the registry knows. */
    public LoadPoller(
            Supplier<Optional<Settings>> settings,
            BackendRegistry registry,
            EngineClient engines,
            TimerService timers) {
        mSettings = settings;
        mRegistry = registry;
        mEngines = engines;
        mTimers = timers;
    }

    /** Starts to poll. */
    public void start() {
        mTimers.every(PERIOD, this::poll);
    }

    private void poll() {
        mSettings
                .get()
                .ifPresent(
                        settings ->
                                mRegistry.servers().stream()
                                        .map(BackendStatus::server)
                                        .filter(server -> engine(settings, server))
                                        .forEach(this::ask));
    }

    private static boolean engine(Settings settings, BackendServer server) {
        return Optional.ofNullable(settings.services().get(server.service()))
                .filter(service -> service.kind() == Service.Kind.ENGINE)
                .isPresent();
    }

    private void ask(BackendServer server) {
        long askedAt = mTimers.nowMillis();
        mEngines.load(server)
                .thenAccept(
                        answer ->
                                answer.peek(r -> mRegistry.observe(server.name(), r, askedAt))
                                        .peekLeft(f -> mRegistry.unreachable(server.name())));
    }
}
