package io.rhubarbward.placement;

/**
 * What one incarnation of a backend server has said of itself in its answers to this router.
 *
 * <p>It outlives the server's entry in the directory, which may be out of date, lapse and come
 * back.
 */
final class ServerStatements {
    private boolean mLeaving;

    /** Records that the server shuts down; returns whether it had not said so before. */
    boolean sayLeaving() {
        boolean isNew = !mLeaving;
        mLeaving = true;
        return isNew;
    }

    boolean leaving() {
        return mLeaving;
    }
}
