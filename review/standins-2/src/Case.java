import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicReference;

/** Runs one case of the review and ends the process with its result. */
final class Case {
    private static final int HELD = 0;
    private static final int NOT_RUN = 2;

    /** Not 1, with which a virtual machine ends that fails; run.sh translates it. */
    private static final int BROKEN = 3;

    private Case() {}

    /** The steps of a case. */
    interface Steps {
        /**
         * Plays the case.
         *
         * @param trouble whether the disruption happens
         * @return whether the rule was broken
         */
        boolean play(Fleet fleet, boolean trouble) throws IOException;
    }

    /** Plays the steps; the arguments are the record's file and TROUBLE. */
    static void run(String[] arguments, Steps steps) {
        boolean trouble = !arguments[1].equals("0");
        AtomicReference<Fleet> started = new AtomicReference<>();
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    if (started.get() != null) {
                                        started.get().close();
                                    }
                                }));
        int result;
        try {
            Fleet fleet = new Fleet(Path.of(arguments[0]));
            started.set(fleet);
            fleet.record.line("disruption: " + (trouble ? "yes" : "no (TROUBLE=0)"));
            result = steps.play(fleet, trouble) ? BROKEN : HELD;
            fleet.record.line(result == BROKEN ? "RESULT: the rule was broken" : "RESULT: it held");
        } catch (IOException | RuntimeException e) {
            // Whatever stops a case, its result is that it could not run.
            e.printStackTrace();
            result = NOT_RUN;
        }
        System.exit(result);
    }

    /** Stops the case, as one that could not run, unless the condition holds. */
    static void require(boolean condition, String what) throws IOException {
        if (!condition) {
            throw new IOException("could not run: " + what);
        }
    }
}
