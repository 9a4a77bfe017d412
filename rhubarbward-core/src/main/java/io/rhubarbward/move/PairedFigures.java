package io.rhubarbward.move;

/**
 * Both versions' figures over the same time.
 *
 * @param oldVersion the version that moves away
 * @param newVersion the version that moves in
 */
public record PairedFigures(VersionFigures oldVersion, VersionFigures newVersion) {
    /** Nothing counted. */
    public static final PairedFigures ZERO =
            new PairedFigures(VersionFigures.ZERO, VersionFigures.ZERO);

    /** Returns the sum. */
    public PairedFigures plus(PairedFigures other) {
        return new PairedFigures(
                oldVersion.plus(other.oldVersion), newVersion.plus(other.newVersion));
    }

    PairedFigures minus(PairedFigures other) {
        return new PairedFigures(
                oldVersion.minus(other.oldVersion), newVersion.minus(other.newVersion));
    }
}
