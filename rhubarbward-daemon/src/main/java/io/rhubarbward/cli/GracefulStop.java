package io.rhubarbward.cli;

import io.rhubarbward.daemon.RouterDaemon;
import java.util.concurrent.CountDownLatch;

/** Drains a router before the process exits. */
final class GracefulStop {
    private GracefulStop() {}

    /**
     * Adds a shutdown hook that drains the router, as on SIGTERM or SIGINT; the exit status tells
     * whether requests were cut.
     */
    static void drainOnShutdown(RouterDaemon router) {
        Thread hook =
                new Thread(
                        () -> {
                            int cut = router.drain().join();
                            ExitCode code = cut == 0 ? ExitCode.OK : ExitCode.CUT_REQUESTS;
                            // During a shutdown only halt() can still change the exit status.
                            Runtime.getRuntime().halt(code.status());
                        },
                        "graceful-stop");
        Runtime.getRuntime().addShutdownHook(hook);
    }

    /** Keeps the process running until a signal starts its shutdown. */
    static void blockUntilInterrupted() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
