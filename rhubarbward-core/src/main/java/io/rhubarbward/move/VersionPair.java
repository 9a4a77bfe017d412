package io.rhubarbward.move;

/**
 * Both versions' figures over the same time.
 *
 * @param oldVersion the version that moves away
 * @param newVersion the version that moves in
 */
public record VersionPair(VersionFigures oldVersion, VersionFigures newVersion) {
    /** Nothing counted. */
    public static final VersionPair ZERO =
            new VersionPair(VersionFigures.ZERO, VersionFigures.ZERO);

    /** Returns the sum. */
    public VersionPair plus(VersionPair other) {
        return new VersionPair(
                oldVersion.plus(other.oldVersion), newVersion.plus(other.newVersion));
    }

    VersionPair minus(VersionPair other) {
        return new VersionPair(
                oldVersion.minus(other.oldVersion), newVersion.minus(other.newVersion));
    }
}
