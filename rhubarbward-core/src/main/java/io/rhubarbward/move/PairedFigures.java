package io.rhubarbward.move;

/**
 * The call counts of both versions of a rollout over the same time.
 *
 * @param oldVersion the counts of the version that the rollout replaces
 * @param newVersion the counts of the version that the rollout introduces
 */
public record PairedFigures(VersionFigures oldVersion, VersionFigures newVersion) {
    /** No calls at either version. */
    public static final PairedFigures ZERO =
            new PairedFigures(VersionFigures.ZERO, VersionFigures.ZERO);

    /** Returns the sums of both versions. */
    public PairedFigures plus(PairedFigures other) {
        return new PairedFigures(
                oldVersion.plus(other.oldVersion), newVersion.plus(other.newVersion));
    }

    /** Returns the figures with 0 in place of negative ones. */
    PairedFigures atLeastZero() {
        return new PairedFigures(oldVersion.atLeastZero(), newVersion.atLeastZero());
    }

    PairedFigures minus(PairedFigures other) {
        return new PairedFigures(
                oldVersion.minus(other.oldVersion), newVersion.minus(other.newVersion));
    }
}
