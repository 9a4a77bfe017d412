package io.rhubarbward.cli;

import io.rhubarbward.daemon.RouterDaemon;
import java.util.concurrent.CountDownLatch;

/** Lets a router finish its open answers when the process is told to stop. */
final class GracefulStop {
    private GracefulStop() {}

    /** Drains the router at SIGTERM or SIGINT; the exit status tells whether requests were cut. */
    static void onSignal(RouterDaemon router) {
        Thread hook =
                new Thread(
                        () -> {
                            int cut = router.drain().join();
                            ExitCode code = cut == 0 ? ExitCode.OK : ExitCode.CUT_REQUESTS;
                            // A hook cannot change the status of an exit under way except so.
                            Runtime.getRuntime().halt(code.status());
                        },
                        "graceful-stop");
        Runtime.getRuntime().addShutdownHook(hook);
    }

    static void waitForSignal() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
