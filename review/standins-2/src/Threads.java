import java.io.IOException;

/** Starts the stand-ins' threads, which end with the process. */
final class Threads {
    private Threads() {}

    /** Work that ends with an exception when its connection does. */
    interface Work {
        void run() throws IOException;
    }

    static Thread start(String name, Work work) {
        Thread thread =
                new Thread(
                        null,
                        () -> {
                            try {
                                work.run();
                            } catch (IOException e) {
                                // The peer has closed its connection, or the test has ended.
                            }
                        },
                        name,
                        262_144);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
