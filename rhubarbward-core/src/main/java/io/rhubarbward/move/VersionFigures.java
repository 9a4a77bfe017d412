package io.rhubarbward.move;

/**
 * What was counted of one version's calls.
 *
 * @param calls calls that ended, without those given up early
 * @param failures calls that failed
 * @param timed calls of warm servers, whose times count
 * @param slowFirst timed calls whose first token came late
 * @param slowBetween timed calls whose tokens came slowly
 */
public record VersionFigures(int calls, int failures, int timed, int slowFirst, int slowBetween) {
    /** Nothing counted. */
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

    VersionFigures minus(VersionFigures other) {
        return new VersionFigures(
                calls - other.calls,
                failures - other.failures,
                timed - other.timed,
                slowFirst - other.slowFirst,
                slowBetween - other.slowBetween);
    }
}
