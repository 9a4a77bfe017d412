import java.nio.file.Path;

/** Runs a case and ends with its result: 0 held, 3 broken, 2 could not run. */
abstract class Case {
    private static final int HELD = 0;
    private static final int BROKEN = 3;
    private static final int COULD_NOT_RUN = 2;

    /** Whether the disruption takes place. */
    private final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));

    boolean trouble() {
        return mTrouble;
    }

    /** Runs the case; returns whether the rule held. */
    abstract boolean run(Fleet fleet);

    /** Arguments: the repository's root, and the file for the record. */
    static void main(Case tested, String[] arguments) {
        Path root = Path.of(arguments[0]).toAbsolutePath().normalize();
        Path recordFile = Path.of(arguments[1]);
        int result = COULD_NOT_RUN;
        Fleet fleet = new Fleet(root);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> fleet.routers.forEach(Router::kill)));
        try {
            result = tested.run(fleet) ? HELD : BROKEN;
        } catch (RuntimeException e) {
            fleet.record.add("could not run: " + e);
            e.printStackTrace();
        } finally {
            fleet.close();
            fleet.record.add("result " + result + (tested.trouble() ? "" : " without trouble"));
            fleet.record.write(recordFile);
        }
        System.out.println("result " + result);
        Runtime.getRuntime().halt(result);
    }
}
