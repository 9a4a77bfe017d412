/** Starts daemon threads, and waits. */
final class Threads {
    private Threads() {}

    static Thread start(String name, Runnable action) {
        Thread thread = new Thread(null, action, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Waits until the time since the start of the record. */
    static void sleepUntil(long recordMillis) {
        sleep(recordMillis - Record.now());
    }
}
