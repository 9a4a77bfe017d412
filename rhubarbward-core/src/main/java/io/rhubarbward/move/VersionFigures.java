package io.rhubarbward.move;

/**
 * The call counts of one version.
 *
 * @param calls calls that ended, without those given up early
 * @param failures calls that failed
 * @param timed calls to warm servers; only their latencies are judged
 * @param slowFirst timed calls with a slow first token
 * @param slowBetween timed calls with a long mean time between tokens
 */
public record VersionFigures(int calls, int failures, int timed, int slowFirst, int slowBetween) {
    /** No calls. */
    public static final VersionFigures ZERO = new VersionFigures(0, 0, 0, 0, 0);

    /** Returns the sum. */
    public VersionFigures plus(VersionFigures other) {
        return new VersionFigures(
                calls + other.calls,
                failures + other.failures,
                timed + other.timed,
                slowFirst + other.slowFirst,
                slowBetween + other.slowBetween);
    }

    VersionFigures atLeastZero() {
        return new VersionFigures(
                Math.max(0, calls),
                Math.max(0, failures),
                Math.max(0, timed),
                Math.max(0, slowFirst),
                Math.max(0, slowBetween));
    }

    VersionFigures minus(VersionFigures other) {
        return new VersionFigures(
                calls - other.calls,
                failures - other.failures,
                timed - other.timed,
                slowFirst - other.slowFirst,
                slowBetween - other.slowBetween);
    }
}
